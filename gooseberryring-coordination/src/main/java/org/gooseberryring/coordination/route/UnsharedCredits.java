package org.gooseberryring.coordination.route;

import java.util.HashMap;
import java.util.Map;

import org.gooseberryring.state.Endpoint;

/** Credits for a single host, which may use the full concurrency of each endpoint. */
public final class UnsharedCredits implements CreditSource {
    private static final class Local implements EndpointCredits {
        private int limit;
        private int inUse;

        @Override
        public boolean available(long now) {
            return inUse < limit;
        }

        @Override
        public void acquire(long now) {
            inUse++;
        }

        @Override
        public void release(long now) {
            inUse = Math.max(0, inUse - 1);
        }

        @Override
        public void want(long now) {
            // The host already has all credits.
        }
    }

    private final Map<String, Local> credits = new HashMap<>();

    @Override
    public EndpointCredits of(Endpoint endpoint) {
        Local local = credits.computeIfAbsent(endpoint.id(), id -> new Local());
        local.limit = endpoint.maxConcurrency();
        return local;
    }
}
