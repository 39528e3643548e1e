package org.gooseberryring.host.entry;

import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

import org.gooseberryring.coordination.ratelimit.IssuerChoice;
import org.gooseberryring.coordination.ratelimit.PermitGrant;
import org.gooseberryring.coordination.ratelimit.PermitIssuer;
import org.gooseberryring.coordination.ratelimit.PermitPurpose;
import org.gooseberryring.coordination.ratelimit.PermitRequest;
import org.gooseberryring.coordination.ratelimit.RateLimit;
import org.gooseberryring.coordination.ratelimit.RateLimits;
import org.gooseberryring.coordination.residency.ResidencyController;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.protocol.peer.EndpointRateLimit;
import org.gooseberryring.state.EndpointProcess;
import org.jboss.logging.Logger;

/**
 * Keeps all hosts together within the rate limits that endpoints state.
 *
 * <p>A host that reads a limit tells the others. One host, which all derive from the live hosts, issues the permits
 * of an endpoint; the others ask it before they send a request. All methods must be called on the control thread.
 */
final class RateLimitControl implements PeerExchange.RateLimitListener, DeploymentFeeds.ProcessListener {
    private static final Logger LOG = Logger.getLogger(RateLimitControl.class);

    /** Interval at which silent hosts are recorded, well below the time for which a live host is not seen. */
    private static final long OBSERVE_INTERVAL_MILLIS = 200;

    private final String hostId;
    private final DeploymentView view;
    private final EndpointSignalHandler signalHandler;
    private final EntryRequests requests;
    private final PermittedCalls calls;
    private final ResidencyController controller;
    private final PeerExchange exchange;
    private final PeerMesh mesh;
    private final LongSupplier wallClock;
    private final RateLimits limits = new RateLimits();
    private final PermitIssuer issuer = new PermitIssuer();
    private final IssuerChoice issuers;
    private volatile int limitedCount;
    private long observedAt;

    /** Creates the control; {@code wallClock} gives milliseconds since the Unix epoch. */
    RateLimitControl(
            EntrySettings settings,
            DeploymentView view,
            EndpointSignalHandler signalHandler,
            EntryRequests requests,
            PermittedCalls calls,
            ResidencyController controller,
            PeerExchange exchange,
            PeerMesh mesh,
            LongSupplier wallClock,
            long now) {
        this.hostId = settings.hostId();
        this.issuers = new IssuerChoice(hostId, now);
        this.observedAt = now;
        this.view = view;
        this.signalHandler = signalHandler;
        this.requests = requests;
        this.calls = calls;
        this.controller = controller;
        this.exchange = exchange;
        this.mesh = mesh;
        this.wallClock = wallClock;
    }

    /** Returns the number of limited endpoints; may be called on any thread. */
    int limitedCount() {
        return limitedCount;
    }

    /** Handles a limit in a response to this host. */
    void onStated(EndpointProcess process, double requestsPerSecond, long now) {
        if (limits.onStated(process, requestsPerSecond)) {
            publish(process, now);
        }
    }

    /** Handles a response to this host without a limit; see {@link RateLimits#onNotStated}. */
    void onNotStated(EndpointProcess process, RateLimit knownWhenSent, long now) {
        if (limits.onNotStated(process, knownWhenSent)) {
            publish(process, now);
        }
    }

    @Override
    public void onRateLimit(String host, EndpointRateLimit limit, long now) {
        long ageMillis = wallClock.getAsLong() - limit.getStatedMillis();
        onReported(host, PermitCodec.process(limit), PermitCodec.limit(limit), ageMillis, now);
    }

    private void onReported(String host, EndpointProcess process, RateLimit limit, long ageMillis, long now) {
        if (limits.onReported(process, limit)) {
            apply(process, host, ageMillis, now);
        }
    }

    @Override
    public void onProcessRegistered(EndpointProcess process) {
        // Another host may have reported the limit before this host read the registration.
        controller.setRateLimit(process.endpoint(), limits.limit(process));
    }

    @Override
    public void onProcessGone(EndpointProcess process, long now) {
        if (!limits.limit(process).equals(RateLimit.NONE)) {
            limits.remove(process);
            apply(process, "process-gone", 0, now);
        }
    }

    /** Sends the requests for permits that are due and issues the permits that have become available. */
    void tick(long now) {
        if (limitedCount > 0 && now - observedAt >= OBSERVE_INTERVAL_MILLIS) {
            observedAt = now;
            issuers.observe(exchange.ages(now), now);
        }
        calls.tick(now);
        request(calls.takeRequests(now), now);
        if (issuer.isActive()) {
            Map<String, Long> ages = exchange.ages(now);
            deliver(issuer.onTick(process -> share(process, ages, now), now), now);
        }
    }

    /** Sends requests for permits to the issuers. */
    void request(List<PermitRequest> permitRequests, long now) {
        for (PermitRequest request : permitRequests) {
            String host = issuerOf(request.process(), now);
            LogLine.event("permits-requested")
                    .with("endpoint", request.process().endpoint())
                    .with("purpose", request.purpose())
                    .with("wanted", request.wanted())
                    .with("issuer", host)
                    .debug(LOG);
            if (host.equals(hostId)) {
                onPermitRequest(hostId, request, now);
            } else {
                mesh.send(host, PermitCodec.encode(request));
            }
        }
    }

    @Override
    public void onPermitRequest(String host, PermitRequest request, long now) {
        EndpointProcess process = request.process();
        onReported(host, process, request.limit(), 0, now);
        RateLimit limit = limits.limit(process);
        if (limit.isLimited()) {
            deliver(issuer.onRequest(host, request, limit, share(process, now), now), now);
        } else {
            PermitGrant ended =
                    new PermitGrant(process, request.purpose(), request.number(), request.wanted(), 0, 0, limit);
            deliver(List.of(new PermitIssuer.Issued(host, ended)), now);
        }
    }

    @Override
    public void onPermitGrant(String host, PermitGrant grant, long now) {
        onReported(host, grant.process(), grant.limit(), 0, now);
        if (grant.purpose() == PermitPurpose.REQUEST) {
            requests.onPermitGrant(grant);
        } else {
            calls.onGrant(grant, now);
        }
    }

    private void publish(EndpointProcess process, long now) {
        exchange.publishRateLimit(process, limits.limit(process), wallClock.getAsLong());
        apply(process, "answer", 0, now);
    }

    private void apply(EndpointProcess process, String source, long ageMillis, long now) {
        RateLimit limit = limits.limit(process);
        limitedCount = limits.limitedCount();
        signalHandler.setLimit(process, limit);
        requests.setRateLimit(process, limit);
        issuer.onLimitChanged(process, limit, share(process, now), now);
        if (view.process(process.endpoint()).equals(process)) {
            controller.setRateLimit(process.endpoint(), limit);
        }
        log(process, limit, source, ageMillis, now);
        calls.setLimit(process, limit, now);
    }

    private void log(EndpointProcess process, RateLimit limit, String source, long ageMillis, long now) {
        LogLine line = LogLine.event(limit.isLimited() ? "endpoint-limit" : "endpoint-limit-ended")
                .with("endpoint", process.endpoint())
                .with("bornMs", process.bornMillis())
                .with("source", source)
                .with("ageMs", ageMillis)
                .with("sequence", limit.sequence());
        if (limit.isLimited()) {
            line.with("requestsPerSecond", limit.requestsPerSecond())
                    .with("issuer", issuerOf(process, now))
                    .with("hosts", liveHosts(now));
        }
        line.info(LOG);
    }

    private void deliver(List<PermitIssuer.Issued> issued, long now) {
        for (PermitIssuer.Issued each : issued) {
            PermitGrant grant = each.grant();
            LogLine.event("permits-issued")
                    .with("endpoint", grant.process().endpoint())
                    .with("host", each.host())
                    .with("purpose", grant.purpose())
                    .with("permits", grant.permits())
                    .with("waitMs", grant.waitMillis())
                    .with("requestsPerSecond", grant.limit().requestsPerSecond())
                    .with("share", share(grant.process(), now))
                    .with("hosts", liveHosts(now))
                    .debug(LOG);
            if (each.host().equals(hostId)) {
                onPermitGrant(hostId, grant, now);
            } else {
                mesh.send(each.host(), PermitCodec.encode(grant));
            }
        }
    }

    private String issuerOf(EndpointProcess process, long now) {
        return issuers.issuer(process, exchange.ages(now));
    }

    private double share(EndpointProcess process, long now) {
        return share(process, exchange.ages(now), now);
    }

    private double share(EndpointProcess process, Map<String, Long> ages, long now) {
        return issuers.share(process, ages, exchange.registeredHosts(now), now);
    }

    private int liveHosts(long now) {
        return issuers.live(exchange.ages(now)).size();
    }
}
