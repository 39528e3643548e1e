package org.gooseberryring.coordination.retry;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects requests that crash the endpoints that run them.
 *
 * <p>Each host counts the endpoint losses that it observed itself and sends its count to the other hosts. The losses of
 * a request are the sum over all hosts, so notices may be delayed, repeated and reordered. The loss of one endpoint
 * counts once for each host that had the request in flight there. A request that several hosts sent to the same
 * endpoint is therefore refused early.
 *
 * <p>If each notice arrives within the hold time, a request that crashes every endpoint crashes at most two endpoints
 * while its callers send one copy at a time, and at most 1 + c while they send c concurrent copies through different
 * hosts. If all notices are lost, each host quarantines the request on its own, after two losses or as many losses as
 * it ran concurrent copies.
 */
public final class CrashSuspects {
    /** Default number of losses after which a request is refused on every host. */
    public static final int QUARANTINE_LOSSES = 2;

    /** Limits memory to a few megabytes. The digest with the oldest last loss is evicted first. */
    static final int MAX_DIGESTS = 10_000;

    /** A caller that gets the same refusal for this long stops retrying or changes the request. */
    static final long EXPIRY_MILLIS = 600_000;

    /**
     * A suspect is delayed for this time after a loss, so that the notices of other hosts arrive first. A notice takes
     * about 1 ms within a failure domain and less than 100 ms across a region.
     */
    private static final long HOLD_MILLIS = 500;

    /** Limits memory per digest. Two reporting hosts are enough for quarantine. */
    private static final int MAX_REPORTERS = 4;

    private static final class Suspect {
        private int ownLosses;
        private String lastLoss;
        private long lastLossAt;
        private final Map<String, Integer> reported = new HashMap<>();

        private int losses() {
            int sum = ownLosses;
            for (int losses : reported.values()) {
                sum += losses;
            }
            return sum;
        }
    }

    private final LinkedHashMap<String, Suspect> suspects = new LinkedHashMap<>();
    private final int quarantineLosses;

    /** Creates a detector without suspects that quarantines after {@link #QUARANTINE_LOSSES} losses. */
    public CrashSuspects() {
        this(QUARANTINE_LOSSES);
    }

    /** Creates a detector without suspects that quarantines after the given number of losses. */
    public CrashSuspects(int quarantineLosses) {
        this.quarantineLosses = quarantineLosses;
    }

    /** Creates a detector without suspects that only isolates them; what is refused is decided by better evidence. */
    public static CrashSuspects isolating() {
        return new CrashSuspects(Integer.MAX_VALUE);
    }

    /**
     * Counts the loss of an endpoint that ran the request and returns the losses that this host observed.
     *
     * @param digest digest of the request
     * @param loss identifier of the loss, so that two copies of a request on one endpoint count it once
     * @param now monotonic time in milliseconds
     */
    public int onEndpointLost(String digest, String loss, long now) {
        Suspect suspect = update(digest, now);
        if (!loss.equals(suspect.lastLoss)) {
            suspect.lastLoss = loss;
            suspect.ownLosses++;
        }
        return suspect.ownLosses;
    }

    /**
     * Records the count of another host. A lower or repeated count has no effect.
     *
     * @param reporter host, with its incarnation, that observed the losses
     * @param digest digest of the request
     * @param losses endpoint losses that the reporter observed itself
     * @param now monotonic time in milliseconds
     */
    public void onLossesReported(String reporter, String digest, int losses, long now) {
        Suspect suspect = update(digest, now);
        if (suspect.reported.size() < MAX_REPORTERS || suspect.reported.containsKey(reporter)) {
            suspect.reported.merge(reporter, losses, Math::max);
        }
    }

    /** Removes a suspect that ran alone and completed. A quarantined request is not removed. */
    public void onCompletedAlone(String digest) {
        Suspect suspect = suspects.get(digest);
        if (suspect != null && suspect.losses() < quarantineLosses) {
            suspects.remove(digest);
        }
    }

    /** Returns whether the request is a suspect, which must run alone. */
    public boolean isSuspect(String digest) {
        return suspects.containsKey(digest);
    }

    /** Returns whether a suspect must still wait for notices of other hosts. */
    public boolean isHeld(String digest, long now) {
        Suspect suspect = suspects.get(digest);
        return suspect != null && now - suspect.lastLossAt < HOLD_MILLIS;
    }

    /** Returns whether the request must be refused. */
    public boolean isQuarantined(String digest) {
        Suspect suspect = suspects.get(digest);
        return suspect != null && suspect.losses() >= quarantineLosses;
    }

    /** Removes digests whose last loss is older than the expiry time. */
    public void expire(long now) {
        Iterator<Suspect> oldestFirst = suspects.values().iterator();
        while (oldestFirst.hasNext() && now - oldestFirst.next().lastLossAt >= EXPIRY_MILLIS) {
            oldestFirst.remove();
        }
    }

    /** Returns the number of recorded digests. */
    public int size() {
        return suspects.size();
    }

    private Suspect update(String digest, long now) {
        Suspect suspect = suspects.remove(digest);
        if (suspect == null) {
            suspect = new Suspect();
        }
        suspect.lastLossAt = now;
        suspects.put(digest, suspect);
        if (suspects.size() > MAX_DIGESTS) {
            Iterator<String> oldest = suspects.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return suspect;
    }
}
