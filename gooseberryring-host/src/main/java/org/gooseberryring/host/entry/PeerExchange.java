package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.Target;
import org.gooseberryring.coordination.residency.ResidencyController;
import org.gooseberryring.coordination.residency.ResidencyEffect;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.protocol.peer.EndpointHoldings;
import org.gooseberryring.protocol.peer.HostState;
import org.gooseberryring.protocol.peer.PeerHeard;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.protocol.peer.QuarantineNotice;
import org.gooseberryring.protocol.peer.QuarantinedDigest;
import org.jboss.logging.Logger;

/**
 * Tells the other hosts what this one serves, is asked for and orders, and takes over what they say.
 *
 * <p>All methods are called on the control thread unless stated otherwise.
 */
final class PeerExchange {
    private static final Logger LOG = Logger.getLogger(PeerExchange.class);

    private static final long STATE_MILLIS = 250;

    /** Waiting requests ask for what they lack at most this often. */
    private static final long WANTED_MILLIS = 100;

    /** A controller that has not provided an adapter in this time is passed over for the next one. */
    private static final long NEXT_PROVIDER_MILLIS = 250;

    /** An artifact that was not asked for in this time is taken to be missed anew. */
    private static final long FORGET_WANTED_MILLIS = 1_000;

    /** A controller that was not heard of for this long is not asked. */
    private static final long SILENT_CONTROLLER_MILLIS = 4_000;

    private static final long NEVER = -1;

    private final String hostId;
    private final String failureDomain;
    private final ControlLoop control;
    private final EntryRequests requests;
    private final ResidencyController controller;
    private final Map<String, Controller> controllers = new HashMap<>();
    private final Map<Target.RoutedTarget, Asked> asked = new HashMap<>();
    private PeerMesh mesh;
    private long stateAt;
    private int hosts;

    private record Controller(String host, long term, long heardAt) {}

    private record Asked(long firstAt, long lastAt) {}

    PeerExchange(EntrySettings settings, ControlLoop control, EntryRequests requests, ResidencyController controller) {
        this.hostId = settings.hostId();
        this.failureDomain = settings.failureDomain();
        this.control = control;
        this.requests = requests;
        this.controller = controller;
    }

    /** Names the links to the other hosts; must precede the first message. */
    void connect(PeerMesh peerMesh) {
        mesh = peerMesh;
    }

    /** Lets time pass. */
    void tick(long now) {
        asked.values().removeIf(times -> now - times.lastAt() > FORGET_WANTED_MILLIS);
        if (now < stateAt) {
            return;
        }
        stateAt = now + STATE_MILLIS;
        int count = mesh.heard().size() + 1;
        if (count != hosts) {
            hosts = count;
            requests.hosts(count);
        }
        requests.snapshot(snapshot -> control.offer(at -> tell(snapshot, at)));
    }

    /** Takes a message of another host; may be called on any thread. */
    void received(String sender, PeerMessage message) {
        switch (message.getBodyCase()) {
            case HOST_STATE -> control.offer(now -> state(message, now));
            case ARTIFACTS_WANTED ->
                control.offer(now -> controller.wanted(PeerCodec.targets(message.getArtifactsWanted()), now));
            case ENDPOINT_HOLDINGS -> control.offer(now -> holdings(sender, message.getEndpointHoldings(), now));
            case QUARANTINE_NOTICE -> quarantine(message);
            default -> {
                // A message of a later version of the program, or one that this host has no part in.
            }
        }
    }

    /** Tells the other hosts about a request that crashes endpoints; may be called on any thread. */
    void spread(RequestEffect.SpreadQuarantine quarantine) {
        QuarantineNotice notice = QuarantineNotice.newBuilder()
                .addDigests(QuarantinedDigest.newBuilder()
                        .setDigest(quarantine.digest())
                        .setEndpointLosses(quarantine.endpointLosses()))
                .build();
        control.put(now -> mesh.broadcast(
                PeerMessage.newBuilder().setQuarantineNotice(notice).buildPartial()));
    }

    /** Asks the controllers for artifacts that requests of this host wait for; may be called on any thread. */
    void wanted(List<Target.RoutedTarget> targets) {
        control.offer(now -> ask(targets, now));
    }

    /** Tells all hosts what endpoints hold, on behalf of the controller of this failure domain. */
    void announce(long term, List<ResidencyEffect.Announce> endpoints) {
        controllers.put(failureDomain, new Controller(hostId, term, Long.MAX_VALUE));
        endpoints.forEach(endpoint -> requests.holds(endpoint.endpoint(), endpoint.models()));
        EndpointHoldings holdings = PeerCodec.encode(failureDomain, term, endpoints);
        mesh.broadcast(PeerMessage.newBuilder().setEndpointHoldings(holdings).buildPartial());
    }

    private void quarantine(PeerMessage message) {
        String reporter = message.getSender() + "/" + message.getSenderIncarnation();
        for (QuarantinedDigest digest : message.getQuarantineNotice().getDigestsList()) {
            requests.quarantined(reporter, digest.getDigest(), digest.getEndpointLosses());
        }
    }

    private void tell(EntryRequests.HostSnapshot snapshot, long now) {
        controller.demandOf(hostId, snapshot.artifacts(), now);
        HostState state = PeerCodec.encode(snapshot, mesh.heardAges(now));
        mesh.broadcast(PeerMessage.newBuilder().setHostState(state).buildPartial());
    }

    private void state(PeerMessage message, long now) {
        String sender = message.getSender();
        HostState state = message.getHostState();
        long age = NEVER;
        for (PeerHeard heard : state.getHeardList()) {
            if (heard.getHost().equals(hostId)) {
                age = heard.getAgeMillis();
            }
        }
        mesh.heard(sender, age, now);
        requests.peer(sender, message.getSenderIncarnation(), PeerCodec.news(state));
        controller.demandOf(sender, PeerCodec.artifacts(state), now);
    }

    private void holdings(String sender, EndpointHoldings holdings, long now) {
        Controller known = controllers.get(holdings.getFailureDomain());
        if (known != null && known.term() > holdings.getTerm()) {
            return;
        }
        controllers.put(holdings.getFailureDomain(), new Controller(sender, holdings.getTerm(), now));
        for (ResidencyEffect.Announce endpoint : PeerCodec.endpoints(holdings)) {
            controller.holds(endpoint);
            requests.holds(endpoint.endpoint(), endpoint.models());
        }
    }

    /** Returns the controller whose turn it is after an artifact was missed for some time, if there is one. */
    private static List<Controller> inTurn(List<Controller> reachable, long turn) {
        return reachable.isEmpty() ? List.of() : List.of(reachable.get((int) (turn % reachable.size())));
    }

    private static long turn(Asked times) {
        return (times.lastAt() - times.firstAt()) / NEXT_PROVIDER_MILLIS;
    }

    private void ask(List<Target.RoutedTarget> targets, long now) {
        Map<String, List<Target.RoutedTarget>> byHost = new HashMap<>();
        for (Target.RoutedTarget target : targets) {
            Asked before = asked.get(target);
            if (before != null && now - before.lastAt() < WANTED_MILLIS) {
                continue;
            }
            Asked times = new Asked(before == null ? now : before.firstAt(), now);
            asked.put(target, times);
            ResidencyController.Providers providers = controller.providers(target);
            if (before == null || turn(times) != turn(before)) {
                LogLine.event("artifact-wanted")
                        .with("service", target.service())
                        .with("model", target.model())
                        .with("adapter", target.adapter())
                        .with("providers", providers.domains())
                        .with("missedMs", times.lastAt() - times.firstAt())
                        .info(LOG);
            }
            List<Controller> reachable = providers.domains().stream()
                    .map(controllers::get)
                    .filter(provider -> provider != null && now - provider.heardAt() <= SILENT_CONTROLLER_MILLIS)
                    .toList();
            for (Controller provider : providers.all() ? reachable : inTurn(reachable, turn(times))) {
                byHost.computeIfAbsent(provider.host(), host -> new ArrayList<>())
                        .add(target);
            }
        }
        byHost.forEach((host, wanted) -> {
            if (host.equals(hostId)) {
                controller.wanted(wanted, now);
            } else {
                mesh.send(host, PeerMessage.newBuilder().setArtifactsWanted(PeerCodec.wanted(wanted)));
            }
        });
    }
}
