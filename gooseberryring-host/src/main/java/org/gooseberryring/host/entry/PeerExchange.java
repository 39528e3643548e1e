package org.gooseberryring.host.entry;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;

import com.google.protobuf.ByteString;
import org.gooseberryring.coordination.direct.FleetShare;
import org.gooseberryring.coordination.exchange.ExchangeEffect;
import org.gooseberryring.coordination.exchange.ExchangeMember;
import org.gooseberryring.coordination.exchange.ExchangeMessage;
import org.gooseberryring.coordination.exchange.ExchangeTimes;
import org.gooseberryring.coordination.exchange.RecordUpdate;
import org.gooseberryring.coordination.exchange.StateExchange;
import org.gooseberryring.coordination.feed.FeedPosition;
import org.gooseberryring.coordination.request.ArtifactUse;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.residency.ResidencyController;
import org.gooseberryring.coordination.residency.ResidencyEffect;
import org.gooseberryring.coordination.store.StorePosition;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.protocol.peer.FeedChanges;
import org.gooseberryring.protocol.peer.HeldEndpoint;
import org.gooseberryring.protocol.peer.HostUpdate;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.protocol.peer.StateEntry;
import org.gooseberryring.state.EndpointProcess;
import org.jboss.logging.Logger;

/**
 * Tells the other hosts what this one serves, is asked for and orders, and takes over what they say.
 *
 * <p>All methods are called on the control thread unless stated otherwise.
 */
final class PeerExchange {
    private static final Logger LOG = Logger.getLogger(PeerExchange.class);

    /** Time between two looks at what the requests of this host take, while there are any. */
    private static final long MIN_SNAPSHOT_MILLIS = 100;

    /** The same for each processor core, so that a host with little processor time looks less often. */
    private static final double SNAPSHOT_PROCESSOR_MILLIS = 50;

    private static final long MAX_SNAPSHOT_MILLIS = 300;

    /** The same while there are none, so that only the rates of past demand fall. */
    private static final long IDLE_SNAPSHOT_MILLIS = 500;

    /** Hosts up to which each one may be told at once what endpoints hold. */
    private static final int SMALL_FLEET_HOSTS = 16;

    /** Encoded updates that are kept; each is of use for a few messages only. */
    private static final int MAX_ENCODED = 1_024;

    /** Time between two looks at which hosts are silent. */
    private static final long AGES_MILLIS = 250;

    /** Time between two looks at which controllers live and at the demand of all hosts. */
    private static final long SURVEY_MILLIS = 500;

    private final String hostId;
    private final String failureDomain;
    private final ControlLoop control;
    private final EntryRequests requests;
    private final ResidencyController controller;
    private final IntSupplier open;
    private final long busySnapshotMillis;
    private final Map<RecordUpdate<StateKey, StateEntry>, HostUpdate> encoded = new IdentityHashMap<>();
    private final WantedArtifacts wantedByOthers = new WantedArtifacts();
    private final StateExchange<StateKey, StateEntry> exchange;
    private final LocalState own = new LocalState();
    private final Controllers controllers = new Controllers();
    private final ReportedEndpoints holdings;
    private final ArtifactRequests artifacts;
    private PeerMesh mesh;
    private Runnable awaited = () -> {};
    private FleetListener listener;
    private long snapshotAt;
    private long agesAt;
    private long surveyAt;
    private FleetShare share = FleetShare.ALONE;

    /** Creates the exchange of a host; {@code open} gives the number of requests that are open on it. */
    PeerExchange(
            EntrySettings settings,
            long incarnation,
            ControlLoop control,
            EntryRequests requests,
            ResidencyController controller,
            IntSupplier open,
            long now) {
        this.hostId = settings.hostId();
        this.failureDomain = settings.failureDomain();
        this.control = control;
        this.requests = requests;
        this.controller = controller;
        this.open = open;
        this.busySnapshotMillis = snapshotMillis(settings.processors());
        ExchangeMember self = new ExchangeMember(hostId, failureDomain, settings.processors());
        this.exchange = new StateExchange<>(self, incarnation, ExchangeTimes.defaults(), now);
        this.holdings = new ReportedEndpoints(controllers, this::holds, controller::holds);
        this.artifacts = new ArtifactRequests(controller, controllers, this::ask);
    }

    /** Hears what other hosts state of the store and of endpoints. */
    interface FleetListener {
        /** The relay of the failure domain passes on changes of a collection of the store. */
        void passedOn(String collection, StorePosition from, byte[] encoded, long now);

        /** An endpoint has told another host that it leaves. */
        void leavesElsewhere(EndpointProcess process);

        /** Another host has a version of the configuration in force. */
        void configuredElsewhere(long version, long now);
    }

    /**
     * Names what the exchange works with; must precede the first message.
     *
     * @param peerMesh links to the other hosts
     * @param whenWanted hears that requests wait for an artifact of the own failure domain
     * @param fleetListener hears what other hosts state
     */
    void connect(PeerMesh peerMesh, Runnable whenWanted, FleetListener fleetListener) {
        mesh = peerMesh;
        awaited = whenWanted;
        listener = fleetListener;
    }

    /** Passes changes of a collection of the store on to the hosts that rely on this one. */
    void passOn(String collection, StorePosition from, byte[] encoded, long now) {
        PeerMessage.Builder message = PeerMessage.newBuilder()
                .setFeedChanges(FeedChanges.newBuilder()
                        .setCollection(collection)
                        .setEpoch(from.epoch())
                        .setFrom(from.revision())
                        .setChanges(ByteString.copyFrom(encoded)));
        exchange.subscribers(now).forEach(host -> mesh.send(host, message.clone()));
    }

    /** Takes over how far this host has followed the collections of the store. */
    void positions(Map<String, FeedPosition> positions) {
        own.positions(exchange.isRelay() ? positions : Map.of());
    }

    /** Returns how far the relay that this host sends to has followed a collection, null if it relies on none. */
    FeedPosition relayPosition(String collection, long now) {
        String relay = exchange.isRelay() ? null : exchange.relay(now);
        StateEntry entry = relay == null ? null : exchange.entry(relay, StateKey.position(collection));
        return entry == null ? null : PeerCodec.position(entry);
    }

    /** Takes over another host that was found in the store. */
    void member(ExchangeMember member) {
        exchange.addOrUpdateMember(member);
    }

    /** Takes out a host that is no longer in the store. */
    void onMemberRemoved(String host) {
        exchange.onMemberRemoved(host);
    }

    /** Returns the highest fencing number that a controller of this failure domain has stated, 0 if none has. */
    long controllerTerm() {
        return controllers.term(failureDomain);
    }

    /** Returns whether this host may take the lease of its failure domain; a few hosts are enough for that. */
    boolean mayControl(int candidates, long now) {
        return exchange.isAmongFirst(candidates, now);
    }

    /** Lets time pass. */
    void tick(long now) {
        artifacts.tick(now);
        boolean busy = open.getAsInt() > 0;
        if (now - snapshotAt >= (busy ? busySnapshotMillis : IDLE_SNAPSHOT_MILLIS)) {
            snapshotAt = now;
            requests.snapshot(snapshot -> control.offer(at -> publish(snapshot, at)));
        }
        if (now >= surveyAt) {
            surveyAt = now + SURVEY_MILLIS;
            survey(now);
        }
        if (now >= agesAt) {
            agesAt = now + AGES_MILLIS;
            requests.heard(exchange.ages(now));
        }
        carryOut(exchange.onTick(now), now);
    }

    /** Takes a message of another host; may be called on any thread. */
    void received(String sender, PeerMessage message) {
        switch (message.getBodyCase()) {
            case STATE_SYNC -> {
                ExchangeMessage<StateKey, StateEntry> sync = PeerCodec.decode(message.getStateSync());
                control.offer(now -> received(sender, message.getSenderIncarnation(), sync, now));
            }
            case FEED_CHANGES -> {
                FeedChanges changes = message.getFeedChanges();
                control.offer(now -> listener.passedOn(
                        changes.getCollection(),
                        new StorePosition(changes.getEpoch(), changes.getFrom()),
                        changes.getChanges().toByteArray(),
                        now));
            }
            case ARTIFACTS_WANTED -> {
                List<RequestTarget.RoutedTarget> targets = PeerCodec.targets(message.getArtifactsWanted());
                control.offer(now -> {
                    wantedByOthers.wanted(sender, targets, now);
                    wantedHere(targets, now);
                });
            }
            case HELD_ENDPOINT ->
                control.offer(
                        now -> holdings.stated(exchange.failureDomain(sender), sender, message.getHeldEndpoint(), now));
            default -> {
                // A message of a later version of the program, or one that this host has no part in.
            }
        }
    }

    /** Tells the other hosts about a request that crashes endpoints; may be called on any thread. */
    void spread(RequestEffect.SpreadQuarantine quarantine) {
        control.put(now -> own.notice(PeerCodec.quarantined(quarantine)));
    }

    /** Asks the controllers for artifacts that requests of this host wait for; may be called on any thread. */
    void wanted(List<RequestTarget.RoutedTarget> targets) {
        control.offer(now -> artifacts.wanted(targets, now));
    }

    /** Tells all hosts what endpoints hold, on behalf of the controller of this failure domain. */
    void announce(long term, List<ResidencyEffect.Announce> endpoints, long now) {
        List<StateEntry> entries = own.holds(term, endpoints);
        publish(now);
        for (StateEntry entry : entries) {
            holdings.stated(failureDomain, hostId, entry.getHolding(), now);
            tellConcerned(entry.getHolding(), now);
        }
        carryOut(exchange.onTick(now), now);
    }

    /** Notes that this host controls its failure domain no more. */
    void controlsNothing(long now) {
        own.controlsNothing();
        publish(now);
    }

    /** Tells the other hosts which version of the configuration is in force here. */
    void configured(long version) {
        own.configured(version);
    }

    /** Tells the other hosts that an endpoint leaves, until its process is gone. */
    void leaves(EndpointProcess process) {
        own.leaves(process);
    }

    /** Forgets what an endpoint holds and that it leaves, because it is gone or has started anew. */
    void forget(String endpoint) {
        holdings.forget(endpoint);
        own.forget(endpoint);
    }

    /**
     * Tells the hosts that wait for what an endpoint holds now, or send requests to it, without the way through the relays.
     * In a small fleet these are all hosts.
     */
    private void tellConcerned(HeldEndpoint endpoint, long now) {
        Set<String> concerned =
                wantedByOthers.waitingFor(PeerCodec.holding(endpoint).models(), now);
        if (share.hosts() <= SMALL_FLEET_HOSTS) {
            concerned.addAll(exchange.ages(now).keySet());
        } else {
            concerned.addAll(exchange.hostsWith(StateKey.endpoint(endpoint.getEndpoint())));
        }
        PeerMessage.Builder message = PeerMessage.newBuilder().setHeldEndpoint(endpoint);
        concerned.forEach(host -> mesh.send(host, message.clone()));
    }

    private void holds(ResidencyEffect.Announce endpoint) {
        controller.holds(endpoint);
        requests.holds(endpoint.endpoint(), endpoint.models());
    }

    private void received(String sender, long incarnation, ExchangeMessage<StateKey, StateEntry> sync, long now) {
        carryOut(exchange.onMessage(sender, incarnation, sync, now), now);
        carryOut(exchange.onTick(now), now);
    }

    private void publish(EntryRequests.HostSnapshot snapshot, long now) {
        controller.demandOf(hostId, snapshot.artifacts(), now);
        own.requests(snapshot);
        publish(now);
        carryOut(exchange.onTick(now), now);
    }

    private void publish(long now) {
        exchange.publish(own.entries(), own.takeNotices(), now);
    }

    private void carryOut(List<ExchangeEffect<StateKey, StateEntry>> effects, long now) {
        for (ExchangeEffect<StateKey, StateEntry> effect : effects) {
            if (effect instanceof ExchangeEffect.Send<StateKey, StateEntry> send) {
                mesh.send(
                        send.host(),
                        PeerMessage.newBuilder().setStateSync(PeerCodec.encode(send.sync(), this::encode)));
            } else if (effect instanceof ExchangeEffect.Reconnect<StateKey, StateEntry> renew) {
                mesh.renew(renew.host());
            } else if (effect instanceof ExchangeEffect.HostUpdated<StateKey, StateEntry> changed) {
                changed(changed.update(), now);
            } else if (effect instanceof ExchangeEffect.HostExpired<StateKey, StateEntry> gone) {
                LogLine.event("host-silent").with("host", gone.host()).info(LOG);
                requests.gone(gone.host());
            } else if (effect instanceof ExchangeEffect.RelayRoleChanged<StateKey, StateEntry> role) {
                LogLine.event("relay-role").with("relays", role.relays()).info(LOG);
            }
        }
    }

    /** Encodes an update once for all links that it is sent on. */
    private HostUpdate encode(RecordUpdate<StateKey, StateEntry> update) {
        if (encoded.size() > MAX_ENCODED) {
            encoded.clear();
        }
        return encoded.computeIfAbsent(update, PeerCodec::encode);
    }

    private void changed(RecordUpdate<StateKey, StateEntry> update, long now) {
        StateReader reader = new StateReader(update);
        requests.changed(reader.news());
        reader.configuration().ifPresent(version -> listener.configuredElsewhere(version, now));
        reader.leaving().forEach(listener::leavesElsewhere);
        reader.holdings().forEach(held -> holdings.stated(update.failureDomain(), update.host(), held, now));
        String reporter = update.host() + "/" + update.incarnation();
        reader.quarantined()
                .forEach(digest -> requests.quarantined(reporter, digest.getDigest(), digest.getEndpointLosses()));
    }

    /** Looks at which controllers live, how many hosts there are, and what they ask for. */
    private void survey(long now) {
        Map<String, Long> ages = exchange.ages(now);
        long before = ages.keySet().stream()
                .filter(host -> host.compareTo(hostId) < 0)
                .count();
        FleetShare present = new FleetShare((int) before, ages.size() + 1);
        if (!present.equals(share)) {
            share = present;
            requests.share(share);
        }
        ages.put(hostId, 0L);
        requests.controlled(controllers.heard(ages, now));
        holdings.repeat();
        // A host that may take the lease next knows then which models are asked for.
        if (exchange.isAmongFirst(ResidencyControl.CANDIDATES, now)) {
            ages.keySet().stream()
                    .filter(host -> !host.equals(hostId))
                    .forEach(host -> controller.demandOf(host, demand(host), now));
        }
    }

    private Map<RequestTarget.RoutedTarget, ArtifactUse> demand(String host) {
        Map<RequestTarget.RoutedTarget, ArtifactUse> uses = new HashMap<>();
        exchange.state(host).values().stream()
                .filter(StateEntry::hasArtifact)
                .map(StateEntry::getArtifact)
                .forEach(demand -> uses.put(
                        PeerCodec.target(demand), new ArtifactUse(demand.getTokensPerSecond(), demand.getInFlight())));
        return uses;
    }

    private void ask(String host, List<RequestTarget.RoutedTarget> targets) {
        if (host.equals(hostId)) {
            control.put(now -> wantedHere(targets, now));
        } else {
            mesh.send(host, PeerMessage.newBuilder().setArtifactsWanted(PeerCodec.wanted(targets)));
        }
    }

    private void wantedHere(List<RequestTarget.RoutedTarget> targets, long now) {
        controller.wanted(targets, now);
        awaited.run();
    }

    private static long snapshotMillis(double processors) {
        double wanted = processors > 0 ? SNAPSHOT_PROCESSOR_MILLIS / processors : MIN_SNAPSHOT_MILLIS;
        return (long) Math.max(MIN_SNAPSHOT_MILLIS, Math.min(MAX_SNAPSHOT_MILLIS, wanted));
    }
}
