package org.gooseberryring.coordination.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * Rejected parts of requests and when the next request with each of them is sent as a trial.
 *
 * <p>A trial that is answered ends the verdict. The pause before the next one grows with each trial that crashed its
 * endpoint, so that a part that crashes endpoints costs few of them.
 */
final class PartVerdicts {
    /** Confidence of a verdict on a part that may have been about to be answered by chance. */
    static final int DOUBTFUL = 0;

    /** Confidence of a verdict from a sequence of crashes. */
    static final int FIRM = 1;

    /** Limits memory; of the verdicts on whole requests, or of all if there are none, the one that changed first is evicted. */
    static final int MAX_VERDICTS = 256;

    /** Pause before the next trial by confidence; the last one repeats. */
    private static final long[] TRIAL_PAUSE_MILLIS = {2_000, 60_000, 3_600_000, 86_400_000};

    /** Time after which a trial without a result counts as not sent. */
    private static final long TRIAL_MILLIS = 10_000;

    /** Time for which an ended verdict is kept, so that hosts that still hold the rejection learn of its end. */
    private static final long ENDED_MILLIS = 600_000;

    private final LinkedHashMap<RequestPart, Entry> entries = new LinkedHashMap<>();

    private static final class Entry {
        private PartVerdict verdict;
        private long changedAt;
        private long nextTrialAt;
        private String trialRequest;
        private boolean isTrialOpen;
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns whether requests with a part are rejected. */
    boolean isRejected(RequestPart part) {
        Entry entry = entries.get(part);
        return entry != null && !entry.verdict.ended();
    }

    /** Returns whether the verdict on a part has not changed since a time. */
    boolean isChangedBefore(RequestPart part, long at) {
        return entries.get(part).changedAt <= at;
    }

    /** Returns the verdict on a part, null if there is none. */
    PartVerdict verdict(RequestPart part) {
        Entry entry = entries.get(part);
        return entry == null ? null : entry.verdict;
    }

    /** Returns all verdicts, ended ones included. */
    List<PartVerdict> all() {
        List<PartVerdict> all = new ArrayList<>(entries.size());
        entries.values().forEach(entry -> all.add(entry.verdict));
        return all;
    }

    /** Rejects a part that is accepted so far; returns the verdict. */
    PartVerdict reject(RequestPart part, int confidence, long now) {
        PartVerdict before = verdict(part);
        return set(new PartVerdict(part, before == null ? 1 : before.generation() + 1, false, confidence), now);
    }

    /** Applies a verdict that another host reported; returns whether it is newer than the known one. */
    boolean onReported(PartVerdict reported, long now) {
        if (!reported.supersedes(verdict(reported.part()))) {
            return false;
        }
        set(reported, now);
        return true;
    }

    /** Ends the rejection of a part, since an endpoint has answered a request with it. */
    PartVerdict end(RequestPart part, long now) {
        return set(verdict(part).end(), now);
    }

    /** Postpones the next trial of a part after one crashed its endpoint. */
    PartVerdict onTrialCrashed(RequestPart part, long now) {
        return set(verdict(part).confirm(), now);
    }

    /** Returns whether the next trial of a rejected part is due. */
    boolean isTrialDue(RequestPart part, long now) {
        return now >= entries.get(part).nextTrialAt;
    }

    /** Records that a request is sent as the trial of a part. */
    void startTrial(RequestPart part, String requestId, long now) {
        Entry entry = entries.get(part);
        entry.trialRequest = requestId;
        entry.isTrialOpen = true;
        entry.nextTrialAt = now + TRIAL_MILLIS;
    }

    /** Records that a request, if it is the trial of a part, must not be sent again. */
    void endTrial(RequestPart part, String requestId) {
        if (wasTrial(part, requestId)) {
            entries.get(part).isTrialOpen = false;
        }
    }

    /** Makes the next trial of a part due if the given request is its trial and has not run. */
    void repeatTrial(RequestPart part, String requestId, long now) {
        if (isTrial(part, requestId)) {
            Entry entry = entries.get(part);
            entry.isTrialOpen = false;
            entry.nextTrialAt = now;
        }
    }

    /** Returns whether a request may be sent as the trial of a part. */
    boolean isTrial(RequestPart part, String requestId) {
        return wasTrial(part, requestId) && entries.get(part).isTrialOpen;
    }

    /** Returns whether a request is or was the last trial of a part. */
    boolean wasTrial(RequestPart part, String requestId) {
        Entry entry = entries.get(part);
        return entry != null && requestId.equals(entry.trialRequest);
    }

    /** Removes verdicts that ended long ago. */
    void expire(long now) {
        entries.values().removeIf(entry -> entry.verdict.ended() && now - entry.changedAt > ENDED_MILLIS);
    }

    /**
     * Returns the part whose verdict is evicted from the given ones, in the order of their last change. A prompt part is
     * shared by many requests, and callers can change a request at will, so verdicts on whole requests are evicted first.
     */
    static RequestPart evicted(Collection<RequestPart> parts) {
        return parts.stream()
                .filter(RequestPart::isWholeRequest)
                .findFirst()
                .orElseGet(() -> parts.iterator().next());
    }

    private PartVerdict set(PartVerdict verdict, long now) {
        Entry entry = new Entry();
        entry.verdict = verdict;
        entry.changedAt = now;
        entry.nextTrialAt = now + TRIAL_PAUSE_MILLIS[Math.min(verdict.confidence(), TRIAL_PAUSE_MILLIS.length - 1)];
        entries.remove(verdict.part());
        entries.put(verdict.part(), entry);
        if (entries.size() > MAX_VERDICTS) {
            entries.remove(evicted(entries.keySet()));
        }
        return verdict;
    }
}
