package org.gooseberryring.host.caller;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.transport.peer.FrameSigner;

/** Verifies that requests to the relay address come from a host, and that none of them is repeated; thread-safe. */
public final class RelayAuthenticator {
    // Wall clocks of hosts differ by less than one second; the remainder allows for delay in transit.
    private static final long MAX_AGE_MILLIS = 30_000;
    // At 1,000 relayed requests/s this covers twice the maximum age.
    private static final int MAX_SEEN_ATTEMPTS = 65_536;
    private static final int ONE_HOP = 1;

    private final Supplier<byte[]> secret;
    private final LongSupplier wallClock;
    private final Map<String, Boolean> seenAttempts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_SEEN_ATTEMPTS;
        }
    };

    /**
     * Creates an authenticator.
     *
     * @param secret returns the secret that all hosts share, null while it is not known
     * @param wallClock milliseconds since the Unix epoch
     */
    public RelayAuthenticator(Supplier<byte[]> secret, LongSupplier wallClock) {
        this.secret = secret;
        this.wallClock = wallClock;
    }

    /**
     * Returns the head of a request.
     *
     * @throws RefusedException if the request does not come from a host, is too old, or was received before
     */
    RelayHead authenticate(HttpServerExchange exchange, byte[] body) {
        byte[] key = secret.get();
        HeaderMap headers = exchange.getRequestHeaders();
        RelayHead head = key == null
                ? null
                : RelayHead.of(
                        headers,
                        new FrameSigner(key),
                        exchange.getRequestMethod().toString(),
                        path(exchange),
                        body);
        if (head == null || head.hops() != ONE_HOP || isExpiredOrReplayed(head)) {
            throw new RefusedException(
                    Refusal.of(ErrorCode.UNAUTHENTICATED, "The request does not come from an authenticated host"));
        }
        return head;
    }

    /** Returns the path with the query. */
    static String path(HttpServerExchange exchange) {
        return RawTarget.of(exchange).pathAndQuery();
    }

    private boolean isExpiredOrReplayed(RelayHead head) {
        synchronized (seenAttempts) {
            return Math.abs(wallClock.getAsLong() - head.wallMillis()) > MAX_AGE_MILLIS
                    || seenAttempts.put(head.identity(), true) != null;
        }
    }
}
