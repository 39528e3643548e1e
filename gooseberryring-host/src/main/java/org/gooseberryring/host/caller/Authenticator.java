package org.gooseberryring.host.caller;

import java.util.function.LongSupplier;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.gooseberryring.host.config.CurrentConfiguration;
import org.gooseberryring.state.ApiKey;
import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.Organisation;

/** Authenticates each request against the current revision of the configuration. */
public final class Authenticator {
    private static final String BEARER = "Bearer ";
    private static final int MAX_KEY_CHARS = 512;
    private static final long MILLIS_PER_SECOND = 1000;
    private static final long STALE_RETRY_MILLIS = 30_000;

    private final CurrentConfiguration holder;
    private final long graceMillis;
    private final LongSupplier clock;

    /**
     * Creates an authenticator.
     *
     * @param graceSeconds seconds for which keys are honoured without a confirmed configuration
     * @param clock monotonic milliseconds
     */
    public Authenticator(CurrentConfiguration holder, long graceSeconds, LongSupplier clock) {
        this.holder = holder;
        this.graceMillis = graceSeconds * MILLIS_PER_SECOND;
        this.clock = clock;
    }

    /** Returns whether the configuration was confirmed within the grace period. */
    public boolean isFresh() {
        long confirmedAt = holder.confirmedAt();
        return confirmedAt > 0 && clock.getAsLong() - confirmedAt <= graceMillis;
    }

    /** Returns the organisation of the key, or throws a refusal. */
    Organisation authenticate(HeaderMap headers, FleetConfiguration configuration) {
        String value = headers.getFirst(Headers.AUTHORIZATION);
        if (value == null) {
            throw refused("No key was given");
        }
        if (!value.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            throw refused("The Authorization header must be of the form Bearer KEY");
        }
        String key = value.substring(BEARER.length()).strip();
        if (key.isEmpty() || key.length() > MAX_KEY_CHARS || key.chars().anyMatch(c -> c <= ' ' || c > '~')) {
            throw refused("The key is malformed");
        }
        if (!isFresh()) {
            throw new RefusedException(Refusal.retry(
                    ErrorCode.CONFIGURATION_STALE,
                    STALE_RETRY_MILLIS,
                    "This host could not confirm its configuration for longer than the grace period"));
        }
        String digest = Digests.hex(key);
        ApiKey known = configuration.keys().get(digest);
        Organisation organisation =
                known == null ? null : configuration.organisations().get(known.organisation());
        if (organisation == null || known.withdrawn()) {
            throw refused("The key is unknown or withdrawn");
        }
        return organisation;
    }

    private static RefusedException refused(String detail) {
        return new RefusedException(Refusal.of(ErrorCode.UNAUTHENTICATED, detail));
    }
}
