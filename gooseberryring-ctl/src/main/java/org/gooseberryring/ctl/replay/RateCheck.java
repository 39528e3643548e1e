package org.gooseberryring.ctl.replay;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the requests that were refused although their organisation was within its rate and burst.
 *
 * <p>The bucket of an organisation is charged with what was admitted, so a refusal counts only if the tokens admitted
 * before it left room for the request.
 */
final class RateCheck {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Map<String, OrganisationAccess> organisations;

    RateCheck(Map<String, OrganisationAccess> organisations) {
        this.organisations = organisations;
    }

    /** Returns the refusals of requests within the rate. */
    List<Outcome> refusedWithinRate(List<Outcome> outcomes) {
        Map<String, Bucket> buckets = new HashMap<>();
        return outcomes.stream()
                .sorted(Comparator.comparingLong(Outcome::sentMillis))
                .filter(outcome -> {
                    String organisation = outcome.line().organisation();
                    Bucket bucket = buckets.computeIfAbsent(organisation, id -> new Bucket(organisations.get(id)));
                    bucket.advance(outcome.sentMillis());
                    boolean within = bucket.holds(outcome.line().cost());
                    if (!outcome.refused()) {
                        bucket.take(outcome.line().cost());
                    }
                    return outcome.refused() && within;
                })
                .toList();
    }

    /** Token bucket that is full at the start. */
    private static final class Bucket {
        private final OrganisationAccess limits;
        private double tokens;
        private long lastMillis;

        Bucket(OrganisationAccess limits) {
            this.limits = limits;
            this.tokens = limits.burstTokens();
        }

        void advance(long now) {
            double added = (now - lastMillis) * limits.rateTokensPerSecond() / MILLIS_PER_SECOND;
            tokens = Math.min(limits.burstTokens(), tokens + added);
            lastMillis = now;
        }

        boolean holds(long cost) {
            return tokens >= cost;
        }

        void take(long cost) {
            tokens -= cost;
        }
    }
}
