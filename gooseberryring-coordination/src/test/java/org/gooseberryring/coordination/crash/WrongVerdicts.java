package org.gooseberryring.coordination.crash;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongPredicate;

/** Records for how long hosts reject parts that crash nothing. */
final class WrongVerdicts {
    private static final long NONE = Long.MAX_VALUE;

    private final LongPredicate isCrashing;
    private final Map<PartHost, Long> since = new HashMap<>();
    private boolean any;
    private long longestMillis;

    /** Creates an empty record; {@code isCrashing} tests whether a part crashes endpoints. */
    WrongVerdicts(LongPredicate isCrashing) {
        this.isCrashing = isCrashing;
    }

    /** Returns whether any host has rejected such a part. */
    boolean any() {
        return any;
    }

    /** Returns the longest time for which a host has rejected one without a pause. */
    long longestMillis() {
        return longestMillis;
    }

    void onVerdict(PartVerdict verdict) {
        any |= isWrong(verdict);
    }

    /** Records the present verdicts of the hosts that run. */
    void observe(Collection<PartHost> hosts, long now) {
        for (PartHost host : hosts) {
            boolean rejects = host.verdicts().stream().anyMatch(this::isWrong);
            long start = since.getOrDefault(host, NONE);
            if (start != NONE) {
                longestMillis = Math.max(longestMillis, now - start);
            }
            since.put(host, rejects ? Math.min(start, now) : NONE);
        }
    }

    private boolean isWrong(PartVerdict verdict) {
        return !verdict.ended() && !isCrashing.test(verdict.part().id());
    }
}
