package org.gooseberryring.coordination.retry;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recognises requests that crash the endpoints that run them.
 *
 * <p>Each host counts the endpoint losses that it saw itself and sends its count to the others. The losses of a request
 * are the sum over all hosts, so that notices may come late, repeatedly and in any order. The loss of one endpoint counts
 * once for each host that had the request in flight there, so a request that several hosts sent to it is refused early.
 *
 * <p>If each notice arrives within the hold time, a request that crashes every endpoint takes down at most two while its
 * callers send one copy at a time, and at most 1 + c while they send c copies at a time through different hosts. If all
 * notices are lost, each host stops it by itself, after two losses or as many as it ran copies at once.
 */
public final class CrashSuspects {
    /** Losses after which a request is refused on every host by default. */
    public static final int QUARANTINE_LOSSES = 2;

    /** Bounds memory to a few megabytes; the digest that was lost longest ago is forgotten first. */
    static final int MAX_DIGESTS = 10_000;

    /** A caller that gets an unchanged refusal for this long gives up or changes the request. */
    static final long EXPIRY_MILLIS = 600_000;

    /**
     * A suspect is held back for this long after a loss, so that the notices of other hosts arrive first. A notice
     * crosses a failure domain in about 1 ms and a region in less than 100 ms.
     */
    private static final long HOLD_MILLIS = 500;

    /** Bounds memory per digest; two reporting hosts are enough for quarantine. */
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

    /** Creates an empty record that quarantines after {@link #QUARANTINE_LOSSES}. */
    public CrashSuspects() {
        this(QUARANTINE_LOSSES);
    }

    /** Creates an empty record that quarantines after the given number of losses. */
    public CrashSuspects(int quarantineLosses) {
        this.quarantineLosses = quarantineLosses;
    }

    /**
     * Counts the loss of an endpoint that ran the request and returns the losses that this host saw.
     *
     * @param digest digest of the request
     * @param loss identifier of the loss, so that two copies of a request on one endpoint count it once
     * @param now monotonic time in milliseconds
     */
    public int endpointLost(String digest, String loss, long now) {
        Suspect suspect = touch(digest, now);
        if (!loss.equals(suspect.lastLoss)) {
            suspect.lastLoss = loss;
            suspect.ownLosses++;
        }
        return suspect.ownLosses;
    }

    /**
     * Takes over the count of another host; a lower or repeated count changes nothing.
     *
     * @param reporter host, with its incarnation, that saw the losses
     * @param digest digest of the request
     * @param losses endpoint losses that the reporter saw itself
     * @param now monotonic time in milliseconds
     */
    public void reported(String reporter, String digest, int losses, long now) {
        Suspect suspect = touch(digest, now);
        if (suspect.reported.size() < MAX_REPORTERS || suspect.reported.containsKey(reporter)) {
            suspect.reported.merge(reporter, losses, Math::max);
        }
    }

    /** Forgets a suspect that ran alone and completed; a quarantined one stays. */
    public void completedAlone(String digest) {
        Suspect suspect = suspects.get(digest);
        if (suspect != null && suspect.losses() < quarantineLosses) {
            suspects.remove(digest);
        }
    }

    /** Returns whether the request must run alone. */
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

    /** Forgets digests whose last loss is long ago. */
    public void expire(long now) {
        Iterator<Suspect> oldestFirst = suspects.values().iterator();
        while (oldestFirst.hasNext() && now - oldestFirst.next().lastLossAt >= EXPIRY_MILLIS) {
            oldestFirst.remove();
        }
    }

    /** Returns the number of digests held. */
    public int size() {
        return suspects.size();
    }

    private Suspect touch(String digest, long now) {
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
