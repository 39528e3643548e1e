package org.gooseberryring.ctl.replay;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds requests that were refused although their organisation was within its rate and burst.
 *
 * <p>Only admitted requests are deducted from the bucket of an organisation, so a refusal counts only if enough tokens
 * for the request remained after the earlier admissions.
 */
final class RateCheck {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final Map<String, OrganisationAccess> organisations;

    RateCheck(Map<String, OrganisationAccess> organisations) {
        this.organisations = organisations;
    }

    /** Returns the outcomes of requests that were refused within the rate. */
    List<Outcome> refusedWithinRate(List<Outcome> outcomes) {
        Map<String, Bucket> buckets = new HashMap<>();
        return outcomes.stream()
                .sorted(Comparator.comparingLong(Outcome::sentMillis))
                .filter(outcome -> {
                    String organisation = outcome.line().organisation();
                    Bucket bucket = buckets.computeIfAbsent(organisation, id -> new Bucket(organisations.get(id)));
                    bucket.advance(outcome.sentMillis());
                    boolean withinRate = bucket.hasTokens(outcome.line().cost());
                    if (!outcome.isRefused()) {
                        bucket.deduct(outcome.line().cost());
                    }
                    return outcome.isRefused() && withinRate;
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

        boolean hasTokens(long cost) {
            return tokens >= cost;
        }

        void deduct(long cost) {
            tokens -= cost;
        }
    }
}
