package org.gooseberryring.host.entry;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;

import com.google.protobuf.ByteString;
import org.gooseberryring.coordination.crash.PartVerdict;
import org.gooseberryring.coordination.crash.StoredCrash;
import org.gooseberryring.coordination.direct.FleetShare;
import org.gooseberryring.coordination.exchange.ExchangeEffect;
import org.gooseberryring.coordination.exchange.ExchangeMember;
import org.gooseberryring.coordination.exchange.ExchangeMessage;
import org.gooseberryring.coordination.exchange.ExchangeTimes;
import org.gooseberryring.coordination.exchange.RecordUpdate;
import org.gooseberryring.coordination.exchange.RegisteredHosts;
import org.gooseberryring.coordination.exchange.StateExchange;
import org.gooseberryring.coordination.feed.FeedPosition;
import org.gooseberryring.coordination.path.OwnReach;
import org.gooseberryring.coordination.ratelimit.PermitGrant;
import org.gooseberryring.coordination.ratelimit.PermitRequest;
import org.gooseberryring.coordination.ratelimit.RateLimit;
import org.gooseberryring.coordination.request.RequestedArtifact;
import org.gooseberryring.coordination.residency.ResidencyController;
import org.gooseberryring.coordination.residency.ResidencyEffect;
import org.gooseberryring.coordination.store.StorePosition;
import org.gooseberryring.coordination.stream.StreamTable;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.protocol.peer.EndpointRateLimit;
import org.gooseberryring.protocol.peer.FeedChanges;
import org.gooseberryring.protocol.peer.HeldEndpoint;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.protocol.peer.StateEntry;
import org.gooseberryring.state.EndpointProcess;
import org.jboss.logging.Logger;

/**
 * Publishes the state of this host to the other hosts and applies their updates.
 *
 * <p>All methods must be called on the control thread unless stated otherwise.
 */
final class PeerExchange {
    private static final Logger LOG = Logger.getLogger(PeerExchange.class);

    /** Interval between two snapshots while no request is open and only the rates of past demand decay. */
    private static final long IDLE_SNAPSHOT_MILLIS = 500;

    /** Maximum number of hosts for which a change of an endpoint is sent to all hosts directly. */
    private static final int SMALL_FLEET_HOSTS = 16;

    /** Interval between two checks for silent hosts. */
    private static final long AGES_INTERVAL_MILLIS = 250;

    /** Interval between two checks of which controllers are alive and of the demand of all hosts. */
    private static final long SURVEY_INTERVAL_MILLIS = 500;

    private final String hostId;
    private final String failureDomain;
    private final ControlLoop control;
    private final EntryRequests requests;
    private final ResidencyController controller;
    private final IntSupplier open;
    private final long busySnapshotMillis;
    private final EncodedUpdates encoded = new EncodedUpdates();
    private final WantedArtifacts requestedByOthers = new WantedArtifacts();
    private final StateExchange<StateKey, StateEntry> exchange;
    private final LocalState localState = new LocalState();
    private final ReachingHosts reachingHosts;
    private final PublishedReach reach;
    private final Controllers controllers = new Controllers();
    private final LimitHandover limitHandover;
    private final RelayPositions relayPositions = new RelayPositions();
    private final CoalescedTask sending;
    private final RegisteredHosts registeredHosts = new RegisteredHosts();
    private final ReportedEndpoints reportedEndpoints;
    private final ArtifactRequests artifactRequests;
    private PeerMesh mesh;
    private Runnable onArtifactRequested = () -> {};
    private FleetListener listener;
    private RateLimitListener rateLimitListener;
    private PeerHealth peerHealth;
    /** Arrival of the message whose effects are carried out. */
    private long messageArrivedAt;

    private long lastSnapshotAt;
    private long nextAgesAt;
    private long nextSurveyAt;
    private FleetShare share = FleetShare.ALONE;
    private boolean membersListed;
    private boolean shareKnown;
    private List<PartVerdict> verdicts = List.of();
    private List<StoredCrash> requestCrashes = List.of();
    private StreamTable streams = StreamTable.NONE;

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
        this.reach = new PublishedReach(settings, localState);
        this.busySnapshotMillis = SnapshotInterval.busyMillis(settings.processors());
        ExchangeMember self = new ExchangeMember(hostId, failureDomain, settings.processors());
        this.exchange = new StateExchange<>(self, incarnation, ExchangeTimes.defaults(), now);
        this.sending = new CoalescedTask(control::offer, at -> carryOut(exchange.onTick(at), at));
        this.reachingHosts = new ReachingHosts(exchange);
        this.reportedEndpoints = new ReportedEndpoints(controllers, this::onModelsReported, controller::onAnnouncement);
        this.limitHandover =
                new LimitHandover(exchange, requests, control, (host, windows) -> mesh.send(host, windows));
        this.artifactRequests = new ArtifactRequests(controller, controllers, this::sendArtifactRequest);
    }

    /** Listener for reports of other hosts on the store and on endpoints. */
    interface FleetListener {
        /** Called when the relay of the failure domain has forwarded changes of a collection of the store. */
        void onChangesForwarded(String collection, StorePosition from, byte[] encoded, long arrivedAt, long now);

        /** Called when an endpoint has signalled to another host that it is leaving. */
        void onEndpointLeavingElsewhere(EndpointProcess process);

        /** Called when another host has a version of the configuration in force. */
        void onConfigurationElsewhere(long version, long now);
    }

    /** Listener for reports of other hosts on rate limits of endpoints, and for permits. */
    interface RateLimitListener {
        /** Called when another host has read a limit in a response, or its end. */
        void onRateLimit(String host, EndpointRateLimit limit, long now);

        /** Called when another host asks this one for permits. */
        void onPermitRequest(String host, PermitRequest request, long now);

        /** Called when another host gives permits to this one. */
        void onPermitGrant(String host, PermitGrant grant, long now);
    }

    /**
     * Connects the components that the exchange uses; must be called before the first message.
     *
     * @param peerMesh links to the other hosts
     * @param artifactRequestedCallback called when requests wait for an artifact of the own failure domain
     * @param fleetListener notified of reports of other hosts
     * @param limitListener notified of rate limits and permits
     * @param health handles checks of endpoints that other hosts do not reach
     */
    void connect(
            PeerMesh peerMesh,
            Runnable artifactRequestedCallback,
            FleetListener fleetListener,
            RateLimitListener limitListener,
            PeerHealth health) {
        mesh = peerMesh;
        onArtifactRequested = artifactRequestedCallback;
        listener = fleetListener;
        rateLimitListener = limitListener;
        peerHealth = health;
    }

    /** Forwards changes of a collection of the store to the hosts that use this one as their relay. */
    void forwardChanges(String collection, StorePosition from, byte[] encoded, long now) {
        PeerMessage.Builder message = PeerMessage.newBuilder()
                .setFeedChanges(FeedChanges.newBuilder()
                        .setCollection(collection)
                        .setEpoch(from.epoch())
                        .setFrom(from.revision())
                        .setChanges(ByteString.copyFrom(encoded)));
        exchange.subscribers(now).forEach(host -> mesh.send(host, message.clone()));
    }

    /** Publishes at once, since they state an age, the positions up to which this host has followed the store. */
    void setPositions(Map<String, FeedPosition> positions, long now) {
        if (localState.setPositions(exchange.isRelay() ? positions : Map.of(), now)) {
            publish(now);
        }
    }

    /** Returns the position of the relay of this host in a collection, null if it uses no relay. */
    FeedPosition relayPosition(String collection, long now) {
        String relay = exchange.isRelay() ? null : exchange.relay(now);
        StateEntry entry = relay == null ? null : exchange.entry(relay, StateKey.position(collection));
        return entry == null ? null : relayPositions.position(relay, entry, now);
    }

    /** Adds another host that is registered in the store. */
    void addMember(ExchangeMember member, long now) {
        exchange.addOrUpdateMember(member);
        registeredHosts.add(member.host(), now);
    }

    /** Handles that all registered hosts are known. */
    void onMembersListed(long now) {
        membersListed = true;
        survey(now);
    }

    /** Removes a host that is no longer registered in the store. */
    void onMemberRemoved(String host) {
        exchange.onMemberRemoved(host);
        registeredHosts.remove(host);
        limitHandover.onHostRemoved(host);
        relayPositions.onHostRemoved(host);
    }

    /** Returns the highest fencing number that a controller of this failure domain has reported, 0 if none has. */
    long controllerTerm() {
        return controllers.term(failureDomain);
    }

    /** Returns whether this host is a candidate for the lease of its failure domain; a few candidates are enough. */
    boolean mayControl(int candidates, long now) {
        return exchange.isAmongFirst(candidates, host -> !reachingHosts.isIsolated(host), now);
    }

    /** Returns whether this host reaches no endpoint while another live host of its failure domain may do so. */
    boolean isReplaceable(long now) {
        return reach().isolated() && reachingHosts.hasAnyIn(failureDomain, now);
    }

    /** Runs the periodic work that is due. */
    void tick(long now) {
        artifactRequests.tick(now);
        boolean busy = open.getAsInt() > 0;
        if (now - lastSnapshotAt >= (busy ? busySnapshotMillis : IDLE_SNAPSHOT_MILLIS)) {
            lastSnapshotAt = now;
            requests.snapshot(snapshot -> control.offer(at -> publish(snapshot, at)));
        }
        if (now >= nextSurveyAt) {
            nextSurveyAt = now + SURVEY_INTERVAL_MILLIS;
            survey(now);
        }
        if (now >= nextAgesAt) {
            nextAgesAt = now + AGES_INTERVAL_MILLIS;
            requests.onHostAges(exchange.ages(now));
        }
        carryOut(exchange.onTick(now), now);
    }

    /** Handles a message of another host; may be called on any thread. */
    void onMessage(String sender, PeerMessage message) {
        switch (message.getBodyCase()) {
            case STATE_SYNC -> {
                ExchangeMessage<StateKey, StateEntry> sync = PeerCodec.decode(message.getStateSync());
                long arrivedAt = control.now();
                control.offer(now -> onMessage(sender, message.getSenderIncarnation(), sync, arrivedAt, now));
            }
            case FEED_CHANGES -> {
                FeedChanges changes = message.getFeedChanges();
                long arrivedAt = control.now();
                control.putStoreEvent(now -> listener.onChangesForwarded(
                        changes.getCollection(),
                        new StorePosition(changes.getEpoch(), changes.getFrom()),
                        changes.getChanges().toByteArray(),
                        arrivedAt,
                        now));
            }
            case ARTIFACTS_WANTED -> {
                List<RequestedArtifact> artifacts = PeerCodec.artifacts(message.getArtifactsWanted());
                control.offer(now -> {
                    requestedByOthers.recordRequest(sender, artifacts, now);
                    onArtifactsRequested(artifacts, now);
                });
            }
            case HELD_ENDPOINT ->
                control.offer(now -> reportedEndpoints.onReport(
                        exchange.failureDomain(sender), sender, message.getHeldEndpoint(), now));
            case PERMIT_REQUEST -> {
                PermitRequest request = PermitCodec.decode(message.getPermitRequest());
                control.offer(now -> rateLimitListener.onPermitRequest(sender, request, now));
            }
            case PERMIT_GRANT -> {
                PermitGrant grant = PermitCodec.decode(message.getPermitGrant());
                control.offer(now -> rateLimitListener.onPermitGrant(sender, grant, now));
            }
            case LIMIT_WINDOWS -> requests.takeOverLimits(PeerCodec.limitWindows(message.getLimitWindows()));
            case HEALTH_REQUEST -> control.offer(now -> peerHealth.onRequest(sender, message.getHealthRequest()));
            case HEALTH_REPLY -> control.offer(now -> peerHealth.onReply(message.getHealthReply()));
            default -> {
                // Ignores messages of later versions of the program and messages that do not concern this host.
            }
        }
    }

    /** Adds a notice for the other hosts, which is sent with the next update of this host's state. */
    void addNotice(StateEntry notice) {
        localState.addNotice(notice);
    }

    /** Sends what has changed in the state of this host at once. */
    void publishNow(long now) {
        publish(now);
        carryOut(exchange.onTick(now), now);
    }

    /** Requests artifacts that requests of this host wait for from the controllers; may be called on any thread. */
    void requestArtifacts(List<RequestedArtifact> artifacts) {
        control.offer(now -> artifactRequests.request(artifacts, now));
    }

    /** Publishes the models of endpoints to all hosts, on behalf of the controller of this failure domain. */
    void announce(long term, List<ResidencyEffect.Announce> endpoints, long now) {
        List<StateEntry> entries = localState.updateHeldEndpoints(term, endpoints);
        publish(now);
        for (StateEntry entry : entries) {
            reportedEndpoints.onReport(failureDomain, hostId, entry.getHolding(), now);
            notifyConcernedHosts(entry.getHolding(), now);
        }
        carryOut(exchange.onTick(now), now);
    }

    /** Handles that this host no longer controls its failure domain. */
    void onControlLost(long now) {
        localState.clearHeldEndpoints();
        publish(now);
    }

    /** Publishes the version of the configuration that is in force on this host. */
    void onConfigurationAdopted(long version) {
        localState.setConfiguration(version);
    }

    /** Publishes that an endpoint is leaving, until its process is gone. */
    void onEndpointLeaving(EndpointProcess process) {
        localState.addLeaving(process);
    }

    /** Publishes the rate limit that a response to this host states; the time is that of the wall clock. */
    void publishRateLimit(EndpointProcess process, RateLimit limit, long statedMillis) {
        localState.setRateLimit(
                PermitCodec.encode(process, limit).setStatedMillis(statedMillis).build());
    }

    /** Returns the last crashes that are evidence against whole requests on this host. */
    List<StoredCrash> requestCrashes() {
        return requestCrashes;
    }

    /** Returns the verdicts of this host on parts of requests. */
    List<PartVerdict> verdicts() {
        return verdicts;
    }

    /** Returns the endpoints that this host does not reach itself; may be called on any thread. */
    OwnReach reach() {
        return reach.current();
    }

    /** Takes the next snapshot of the request thread at the next tick, because the store needs it soon. */
    void requestSnapshot() {
        lastSnapshotAt = Long.MIN_VALUE / 2;
    }

    /** Returns the streams of this host that the store must have. */
    StreamTable streams() {
        return streams;
    }

    /** Returns the milliseconds since each other known host was last seen. */
    Map<String, Long> ages(long now) {
        return exchange.ages(now);
    }

    /** Returns at most the given number of live hosts, at random, that have not reported the loss of all their paths. */
    List<String> hostsWithPaths(int count, long now) {
        return reachingHosts.select(count, now);
    }

    /** Returns the number of other registered hosts that may be alive. */
    int registeredHosts(long now) {
        return registeredHosts.count(now);
    }

    /** Removes the state of an endpoint that was unregistered or restarted. */
    void removeEndpoint(String endpoint) {
        reportedEndpoints.remove(endpoint);
        localState.removeEndpoint(endpoint);
    }

    /**
     * Sends the models of an endpoint directly, not through the relays, to the hosts that wait for one of them or send
     * requests to the endpoint. In a small fleet these are all hosts.
     */
    private void notifyConcernedHosts(HeldEndpoint endpoint, long now) {
        Set<String> concerned =
                requestedByOthers.waitingFor(PeerCodec.holding(endpoint).models(), now);
        if (share.hosts() <= SMALL_FLEET_HOSTS) {
            concerned.addAll(exchange.ages(now).keySet());
        } else {
            concerned.addAll(exchange.hostsWith(StateKey.endpoint(endpoint.getEndpoint())));
        }
        PeerMessage.Builder message = PeerMessage.newBuilder().setHeldEndpoint(endpoint);
        concerned.forEach(host -> mesh.send(host, message.clone()));
    }

    private void onModelsReported(ResidencyEffect.Announce endpoint) {
        controller.onAnnouncement(endpoint);
        requests.onModelsReported(endpoint.endpoint(), endpoint.models());
    }

    private void onMessage(
            String sender, long incarnation, ExchangeMessage<StateKey, StateEntry> sync, long arrivedAt, long now) {
        messageArrivedAt = arrivedAt;
        carryOut(exchange.onMessage(sender, incarnation, sync, now), now);
        sending.request();
    }

    private void publish(EntryRequests.HostSnapshot snapshot, long now) {
        controller.onHostDemand(hostId, snapshot.artifacts(), now);
        verdicts = snapshot.verdicts();
        requestCrashes = snapshot.requestCrashes();
        streams = snapshot.streams();
        reach.update(snapshot.reach());
        localState.updateRequests(snapshot);
        publishNow(now);
    }

    private void publish(long now) {
        exchange.publish(localState.entries(), localState.takeNotices(), now);
    }

    private void carryOut(List<ExchangeEffect<StateKey, StateEntry>> effects, long now) {
        for (ExchangeEffect<StateKey, StateEntry> effect : effects) {
            if (effect instanceof ExchangeEffect.Send<StateKey, StateEntry> send) {
                mesh.send(
                        send.host(),
                        PeerMessage.newBuilder().setStateSync(PeerCodec.encode(send.sync(), encoded::encode)));
            } else if (effect instanceof ExchangeEffect.Reconnect<StateKey, StateEntry> renew) {
                mesh.reconnect(renew.host());
            } else if (effect instanceof ExchangeEffect.HostUpdated<StateKey, StateEntry> changed) {
                onStateChanged(changed.update(), now);
            } else if (effect instanceof ExchangeEffect.HostExpired<StateKey, StateEntry> gone) {
                LogLine.event("host-silent").with("host", gone.host()).info(LOG);
                requests.onHostGone(gone.host());
            } else if (effect instanceof ExchangeEffect.RelayRoleChanged<StateKey, StateEntry> role) {
                LogLine.event("relay-role").with("relays", role.relays()).info(LOG);
            }
        }
    }

    private void onStateChanged(RecordUpdate<StateKey, StateEntry> update, long now) {
        limitHandover.onUpdate(update.host(), update.incarnation(), now);
        relayPositions.onUpdate(update, messageArrivedAt);
        StateReader reader = new StateReader(update);
        requests.onHostChanged(reader.hostChanges());
        reader.configuration().ifPresent(version -> listener.onConfigurationElsewhere(version, now));
        reader.leaving().forEach(listener::onEndpointLeavingElsewhere);
        reader.rateLimits().forEach(limit -> rateLimitListener.onRateLimit(update.host(), limit, now));
        reader.heldEndpoints()
                .forEach(held -> reportedEndpoints.onReport(update.failureDomain(), update.host(), held, now));
        String reporter = update.host() + "/" + update.incarnation();
        requests.onPartsReported(update.host(), reader.partEvents(), reader.verdicts());
        requests.onStreamsReported(reader.brokenStreams());
        reader.requestCrashes().forEach(crash -> requests.onRequestCrashReported(reporter, crash));
    }

    /** Checks which controllers are alive, how many hosts there are, and what their demand is. */
    private void survey(long now) {
        Map<String, Long> ages = exchange.ages(now);
        registeredHosts.updateAges(ages, now);
        FleetShare present = new FleetShare(registeredHosts.countBefore(hostId, now), registeredHosts.count(now) + 1);
        if (!present.equals(share) || membersListed && !shareKnown) {
            share = present;
            shareKnown = membersListed;
            requests.setShare(share);
        }
        ages.put(hostId, 0L);
        requests.setControlledDomains(controllers.updateAges(ages, now));
        reportedEndpoints.repeat();
        // A candidate for the lease must know the demand for models before it becomes the controller.
        if (mayControl(ResidencyControl.CANDIDATES, now)) {
            ages.keySet().stream()
                    .filter(host -> !host.equals(hostId))
                    .forEach(host -> controller.onHostDemand(
                            host, StateReader.demand(exchange.state(host).values()), now));
        }
    }

    private void sendArtifactRequest(String host, List<RequestedArtifact> artifacts) {
        if (host.equals(hostId)) {
            control.put(now -> onArtifactsRequested(artifacts, now));
        } else {
            mesh.send(host, PeerMessage.newBuilder().setArtifactsWanted(PeerCodec.wanted(artifacts)));
        }
    }

    private void onArtifactsRequested(List<RequestedArtifact> artifacts, long now) {
        controller.onArtifactsRequested(artifacts, now);
        onArtifactRequested.run();
    }
}
