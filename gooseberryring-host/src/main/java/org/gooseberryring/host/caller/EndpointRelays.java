package org.gooseberryring.host.caller;

import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.undertow.util.HeaderMap;
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

    /** Returns the signed request with which another host passes a call on to an endpoint. */
    EndpointCall wrap(OpenRequest request, int attempt, String endpoint, EndpointCall call) {
        String organisation = request.spec().organisation();
        RelayHead head = new RelayHead(
                Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong()),
                attempt,
                organisation == null ? "" : organisation,
                request.spec().priorityClass(),
                call.idempotent(),
                Math.max(1, request.spec().deadline() - clock.getAsLong()),
                wallClock.getAsLong(),
                NO_SERVICE,
                ONE_HOP,
                endpoint);
        HeaderMap headers = new HeaderMap();
        call.headers().forEach(values -> headers.putAll(values.getHeaderName(), values));
        RelayHead.removeFrom(headers);
        head.addTo(headers, new FrameSigner(secret.get()), call.method(), call.path(), call.body());
        return new EndpointCall(
                call.requestId(),
                call.method(),
                call.path(),
                headers,
                call.body(),
                call.kind(),
                call.idempotent(),
                call.events(),
                call.maxResponseBytes(),
                call.eventStream());
    }
}
