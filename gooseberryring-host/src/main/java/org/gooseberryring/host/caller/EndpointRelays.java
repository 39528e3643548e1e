package org.gooseberryring.host.caller;

import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.undertow.util.HeaderMap;
import org.gooseberryring.transport.endpoint.CallDeadline;
import org.gooseberryring.transport.endpoint.EndpointCall;
import org.gooseberryring.transport.endpoint.EndpointClient;
import org.gooseberryring.transport.peer.FrameSigner;

/**
 * Prepares requests to endpoints that other hosts pass on, while this host does not reach the endpoints; used on the
 * request thread only.
 */
public final class EndpointRelays {
    private static final int ONE_HOP = 1;
    private static final String NO_SERVICE = "";

    private final Function<String, String> addresses;
    private final Supplier<byte[]> secret;
    private final EndpointClient client;
    private final RandomGenerator random;
    private final LongSupplier clock;
    private final LongSupplier wallClock;

    /**
     * Creates the relays of a host.
     *
     * @param addresses returns the address at which a host takes requests of other hosts, null if it is not known
     * @param secret returns the secret that all hosts share, null while it is not known
     * @param client sends requests to other hosts
     * @param random source of identifiers
     * @param clock monotonic milliseconds
     * @param wallClock milliseconds since the Unix epoch
     */
    public EndpointRelays(
            Function<String, String> addresses,
            Supplier<byte[]> secret,
            EndpointClient client,
            RandomGenerator random,
            LongSupplier clock,
            LongSupplier wallClock) {
        this.addresses = addresses;
        this.secret = secret;
        this.client = client;
        this.random = random;
        this.clock = clock;
        this.wallClock = wallClock;
    }

    /** Returns the address at which a host takes requests, null if none can be sent to it. */
    String address(String host) {
        return secret.get() == null ? null : addresses.apply(host);
    }

    EndpointClient client() {
        return client;
    }

    /** Returns the request with which another host passes a call on to an endpoint; it is signed when it is written. */
    EndpointCall wrap(OpenRequest request, int attempt, String endpoint, EndpointCall call) {
        String identifier = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
        FrameSigner signer = new FrameSigner(secret.get());
        byte[] bodyDigest = Digests.sha256(call.body());
        CallDeadline.Statement statement = (headers, leftMillis) -> {
            // The signature covers the headers for the endpoint, which also state what is left.
            call.deadline().statement().addTo(headers, leftMillis);
            head(request, call, identifier, attempt, endpoint, leftMillis)
                    .addTo(headers, signer, call.method(), call.path(), bodyDigest);
        };
        HeaderMap headers = new HeaderMap();
        call.headers().forEach(values -> headers.putAll(values.getHeaderName(), values));
        RelayHead.removeFrom(headers);
        return call.with(headers, new CallDeadline(request.spec().deadline(), clock, statement));
    }

    /** Returns the head of a request that is written now. */
    private RelayHead head(
            OpenRequest request, EndpointCall call, String identifier, int attempt, String endpoint, long leftMillis) {
        String organisation = request.spec().organisation();
        return new RelayHead(
                identifier,
                attempt,
                organisation == null ? "" : organisation,
                request.spec().priorityClass(),
                call.idempotent(),
                leftMillis,
                wallClock.getAsLong(),
                NO_SERVICE,
                ONE_HOP,
                endpoint);
    }
}
