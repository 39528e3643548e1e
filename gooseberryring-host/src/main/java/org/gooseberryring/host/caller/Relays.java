package org.gooseberryring.host.caller;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.LongSupplier;

import io.undertow.util.HeaderMap;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.protocol.HostEntry;
import org.gooseberryring.transport.endpoint.CallDeadline;
import org.gooseberryring.transport.endpoint.EndpointCall;
import org.gooseberryring.transport.peer.FrameSigner;

/** Selects hosts of other failure domains and prepares the requests to them; used on the request thread only. */
public final class Relays {
    private static final int ONE_HOP = 1;
    private static final String NO_ENDPOINT = "";

    private final Function<String, List<HostEntry>> liveHosts;
    private final byte[] secret;
    private final SplittableRandom random;
    private final LongSupplier clock;
    private final LongSupplier wallClock;

    /**
     * Creates the relays of one host.
     *
     * @param liveHosts returns the live hosts of a failure domain
     * @param secret secret shared by all hosts
     * @param seed seed of the random selection of hosts
     * @param clock monotonic milliseconds
     * @param wallClock milliseconds since the Unix epoch
     */
    public Relays(
            Function<String, List<HostEntry>> liveHosts,
            byte[] secret,
            long seed,
            LongSupplier clock,
            LongSupplier wallClock) {
        this.liveHosts = liveHosts;
        this.secret = secret.clone();
        this.random = new SplittableRandom(seed);
        this.clock = clock;
        this.wallClock = wallClock;
    }

    /** Returns the relay address of a random live host of a failure domain, or null if none is known. */
    String address(String failureDomain) {
        List<HostEntry> hosts = liveHosts.apply(failureDomain);
        return hosts.isEmpty() ? null : hosts.get(random.nextInt(hosts.size())).relayAddress();
    }

    /** Returns the request that is sent to a relay, and signed when it is written. */
    EndpointCall call(OpenRequest request, int attempt) {
        Destination to = request.destination();
        // Not shared: the I/O threads of several requests sign at the same time.
        FrameSigner signer = new FrameSigner(secret);
        byte[] bodyDigest = Digests.sha256(to.body());
        CallDeadline.Statement statement = (headers, leftMillis) ->
                head(request, attempt, leftMillis).addTo(headers, signer, request.method(), to.path(), bodyDigest);
        HeaderMap headers = new HeaderMap();
        request.headers().forEach(values -> headers.putAll(values.getHeaderName(), values));
        return new EndpointCall(
                request.spec().id(),
                request.method(),
                to.path(),
                headers,
                to.body(),
                to.target() instanceof RequestTarget.ServiceTarget
                        ? EndpointCall.Kind.SERVICE_RELAY
                        : EndpointCall.Kind.MODEL_RELAY,
                to.idempotent(),
                null,
                EndpointCall.MAX_RESPONSE_BYTES,
                to.eventStream(),
                new CallDeadline(request.spec().deadline(), clock, statement));
    }

    /** Returns the head of a request that is written now. */
    private RelayHead head(OpenRequest request, int attempt, long leftMillis) {
        Destination to = request.destination();
        String organisation = request.spec().organisation();
        return new RelayHead(
                request.spec().id(),
                attempt,
                organisation == null ? "" : organisation,
                request.spec().priorityClass(),
                to.idempotent(),
                leftMillis,
                wallClock.getAsLong(),
                to.target() instanceof RequestTarget.ServiceTarget service ? service.service() : "",
                ONE_HOP,
                NO_ENDPOINT);
    }
}
