package org.gooseberryring.host.caller;

import java.util.function.LongSupplier;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.gooseberryring.host.config.CurrentConfiguration;
import org.gooseberryring.state.ApiKey;
import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.Organisation;

/** Authenticates requests against the current revision of the configuration. */
public final class Authenticator {
    private static final String BEARER = "Bearer ";
    private static final int MAX_KEY_CHARS = 512;
    private static final long MILLIS_PER_SECOND = 1000;
    private static final long STALE_CONFIGURATION_RETRY_MILLIS = 30_000;

    private final CurrentConfiguration currentConfiguration;
    private final long graceMillis;
    private final LongSupplier clock;

    /**
     * Creates an authenticator.
     *
     * @param graceSeconds seconds for which API keys are accepted without a confirmed configuration
     * @param clock monotonic milliseconds
     */
    public Authenticator(CurrentConfiguration currentConfiguration, long graceSeconds, LongSupplier clock) {
        this.currentConfiguration = currentConfiguration;
        this.graceMillis = graceSeconds * MILLIS_PER_SECOND;
        this.clock = clock;
    }

    /** Returns whether the configuration was confirmed within the grace period. */
    public boolean isFresh() {
        long confirmedAt = currentConfiguration.confirmedAt();
        return confirmedAt > 0 && clock.getAsLong() - confirmedAt <= graceMillis;
    }

    /** Returns the organisation of the API key; throws {@link RefusedException} if the key is missing or not valid. */
    Organisation authenticate(HeaderMap headers, FleetConfiguration configuration) {
        String value = headers.getFirst(Headers.AUTHORIZATION);
        if (value == null) {
            throw refused("No API key was given");
        }
        if (!value.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
            throw refused("The Authorization header must be of the form Bearer KEY");
        }
        String key = value.substring(BEARER.length()).strip();
        if (key.isEmpty() || key.length() > MAX_KEY_CHARS || key.chars().anyMatch(c -> c <= ' ' || c > '~')) {
            throw refused("The API key is malformed");
        }
        if (!isFresh()) {
            throw new RefusedException(Refusal.retry(
                    ErrorCode.CONFIGURATION_STALE,
                    STALE_CONFIGURATION_RETRY_MILLIS,
                    "This host has not confirmed its configuration within the grace period"));
        }
        String digest = Digests.hex(key);
        ApiKey apiKey = configuration.keys().get(digest);
        Organisation organisation =
                apiKey == null ? null : configuration.organisations().get(apiKey.organisation());
        if (organisation == null || apiKey.withdrawn()) {
            throw refused("The API key is unknown or withdrawn");
        }
        return organisation;
    }

    private static RefusedException refused(String detail) {
        return new RefusedException(Refusal.of(ErrorCode.UNAUTHENTICATED, detail));
    }
}
