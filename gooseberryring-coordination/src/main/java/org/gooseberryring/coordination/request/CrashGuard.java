package org.gooseberryring.coordination.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.gooseberryring.coordination.crash.BrokenAttempt;
import org.gooseberryring.coordination.crash.CrashingParts;
import org.gooseberryring.coordination.crash.PartEvent;
import org.gooseberryring.coordination.crash.RequestCrash;
import org.gooseberryring.coordination.crash.RequestPart;
import org.gooseberryring.coordination.retry.CrashSuspects;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.Verdict;

/** Decides which requests must not run, or only alone, because endpoints have crashed. */
final class CrashGuard {
    private final CrashSuspects suspects;
    private final CrashingParts parts;
    private final Set<String> runningSuspects = new HashSet<>();

    CrashGuard(CrashSuspects suspects, CrashingParts parts) {
        this.suspects = suspects;
        this.parts = parts;
    }

    void tick(long now) {
        suspects.expire(now);
        parts.tick(now);
    }

    void onArrived(RequestSpec spec, long now) {
        parts.onArrived(spec, now);
    }

    /** Returns why a request is rejected, null if it is not. */
    RefusalReason rejection(RequestSpec spec) {
        if (suspects.isQuarantined(spec.digest())) {
            return RefusalReason.QUARANTINED;
        }
        RequestPart rejected = parts.rejectedPart(spec);
        if (rejected == null) {
            return null;
        }
        return rejected.isWholeRequest() ? RefusalReason.QUARANTINED : RefusalReason.CRASHING_PART;
    }

    void onRejected(RequestSpec spec, RefusalReason reason) {
        if (reason == RefusalReason.CRASHING_PART || reason == RefusalReason.QUARANTINED) {
            parts.onRejected(spec);
        }
    }

    /** Returns whether a request may crash its endpoint and must run alone there. */
    boolean isSuspect(RequestSpec spec) {
        return suspects.isSuspect(spec.digest());
    }

    /** Returns whether a suspect must wait for another copy, or for the reports of other hosts. */
    boolean mustWait(RequestSpec spec, long now) {
        String digest = spec.digest();
        return suspects.isSuspect(digest) && (runningSuspects.contains(digest) || suspects.isHeld(digest, now));
    }

    void onStartedAlone(RequestSpec spec) {
        runningSuspects.add(spec.digest());
    }

    void onEndedAlone(RequestSpec spec) {
        runningSuspects.remove(spec.digest());
    }

    void onCompletedAlone(RequestSpec spec) {
        suspects.onCompletedAlone(spec.digest());
    }

    void onAttemptEnded(RequestSpec spec, AttemptOutcome outcome, long now) {
        if (outcome.isAnswered()) {
            parts.onAnswered(spec, now);
        } else if (outcome.verdict() == Verdict.MAY_HAVE_RUN) {
            parts.onAttemptFailed(spec);
        }
    }

    /** Records the end of a request, with the verdict over all its attempts. */
    void onEnded(RequestSpec spec, Verdict verdict, long now) {
        if (verdict == Verdict.NOT_RUN) {
            parts.onNotRun(spec, now);
        }
    }

    /** Records that the endpoint has answered a running request if its response has run for long enough. */
    void recordIfAnswered(RequestState state, long now) {
        if (state.takeAnswered(CrashingParts.ANSWERED_MILLIS, now)) {
            parts.onAnswering(state.spec(), now);
        }
    }

    /** Counts an endpoint that was lost under a request; returns the notice for the other hosts. */
    RequestEffect onEndpointLost(String digest, String loss, long now) {
        int losses = suspects.onEndpointLost(digest, loss, now);
        return new RequestEffect.SpreadRequestCrash(RequestCrash.withoutEvidence(digest, losses));
    }

    /** Handles the crash of a process while it was running an attempt; returns the notice for the other hosts. */
    RequestEffect onCrash(EndpointProcess process, BrokenAttempt attempt, long now) {
        int losses = suspects.onEndpointLost(attempt.digest(), process.endpoint(), now);
        parts.onCrash(process, attempt, now);
        return new RequestEffect.SpreadRequestCrash(
                new RequestCrash(attempt.digest(), losses, process, attempt.request()));
    }

    /** Applies a loss that another host reported; returns whether the request was no suspect before. */
    boolean onCrashReported(String reporter, RequestCrash crash, long now) {
        boolean isNew = !suspects.isSuspect(crash.digest());
        suspects.onLossesReported(reporter, crash.digest(), crash.losses(), now);
        if (crash.request() != null) {
            parts.onCrashReported(crash.process(), List.of(crash.request()), now);
        }
        return isNew;
    }

    /** Returns and clears the observations that other hosts need. */
    List<RequestEffect> takeEvents() {
        List<PartEvent> events = parts.takeEvents();
        if (events.isEmpty()) {
            return List.of();
        }
        List<RequestEffect> effects = new ArrayList<>(events.size());
        events.forEach(event -> effects.add(new RequestEffect.SpreadPartEvent(event)));
        return effects;
    }
}
