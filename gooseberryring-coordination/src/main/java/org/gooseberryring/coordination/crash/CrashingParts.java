package org.gooseberryring.coordination.crash;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.gooseberryring.coordination.membership.Rendezvous;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.state.EndpointProcess;

/**
 * Detects prompt parts and whole requests that crash the endpoints that answer them, and rejects the requests that have
 * them.
 *
 * <p>Each host reports which parts a crashed endpoint was about to answer for it, and, of the parts under suspicion, which
 * ones an endpoint has answered. All hosts evaluate the same evidence, and adopt the verdicts of each other. All methods
 * are called from one thread.
 */
public final class CrashingParts {
    /**
     * Time for which a response must have run so that the endpoint has answered. An endpoint that crashes when it begins to
     * answer may have written some bytes before.
     */
    public static final long ANSWERED_MILLIS = 500;

    /** Time since a host was last seen up to which it counts as alive. */
    private static final long LIVE_MILLIS = 1_000;

    private static final String TRIAL_ROLE = "trial/";

    private final String host;
    private final Evidence promptEvidence = new Evidence(EvidenceRule.PROMPT_PARTS);
    private final Evidence requestEvidence = new Evidence(EvidenceRule.WHOLE_REQUESTS);
    private final PartVerdicts verdicts = new PartVerdicts();
    private Map<String, Long> hostAges = Map.of();
    private List<PartEvent> events = new ArrayList<>();
    private boolean isEvidenceNew;

    /** Crashes and answers that are evidence for and against one kind of parts. */
    private record Evidence(CrashEvents crashes, AnsweredParts answered) {
        Evidence(EvidenceRule rule) {
            this(new CrashEvents(rule), new AnsweredParts());
        }

        List<CrashEvents.Explanation> explanations(long now) {
            return crashes.explanations(answered::contains, now);
        }
    }

    /** Creates a detector without evidence on the given host. */
    public CrashingParts(String host) {
        this.host = host;
    }

    /** Sets the milliseconds since each other host was last seen. */
    public void setHostAges(Map<String, Long> ages) {
        hostAges = ages;
    }

    /** Returns and clears the events since the last call. */
    public List<PartEvent> takeEvents() {
        if (events.isEmpty()) {
            return List.of();
        }
        List<PartEvent> taken = events;
        events = new ArrayList<>();
        return taken;
    }

    /** Returns the verdicts of this host, ended ones included. */
    public List<PartVerdict> verdicts() {
        return verdicts.all();
    }

    /** Returns the last crashes that are evidence against whole requests, as many as the store keeps. */
    public List<StoredCrash> requestCrashes() {
        return requestEvidence.crashes().newest(StoredCrashes.MAX_CRASHES);
    }

    /** Adds crashes that were read from the store to the evidence against whole requests. */
    public void onCrashesRead(List<StoredCrash> crashes, long now) {
        for (StoredCrash crash : crashes) {
            crash.requests().stream()
                    .filter(request -> !requestEvidence.answered().isAnsweredSince(request, crash.at()))
                    .forEach(request -> addCrash(crash.process(), List.of(request), crash.at(), now));
        }
    }

    /** Handles the crash of an endpoint that was running a request of this host. */
    public void onCrash(EndpointProcess process, BrokenAttempt attempt, long now) {
        if (attempt.request() != null) {
            addCrash(process, List.of(attempt.request()), now, now);
            confirmIfTrial(attempt.request(), attempt.requestId(), now);
        }
        if (attempt.parts().isEmpty() || attempt.responseMillis() >= ANSWERED_MILLIS) {
            return;
        }
        addCrash(process, attempt.parts(), now, now);
        events.add(new PartEvent.Crashed(process, attempt.parts()));
        attempt.parts().forEach(part -> confirmIfTrial(part, attempt.requestId(), now));
    }

    private void confirmIfTrial(RequestPart part, String requestId, long now) {
        if (verdicts.isRejected(part) && verdicts.wasTrial(part, requestId)) {
            changed(verdicts.onTrialCrashed(part, now), null);
        }
    }

    /** Handles a crash that another host reported. */
    public void onCrashReported(EndpointProcess process, List<RequestPart> parts, long now) {
        addCrash(process, parts, now, now);
    }

    /** Handles a complete answer to a request of this host. */
    public void onAnswered(RequestSpec spec, long now) {
        onAnswering(spec, now);
        RequestPart whole = RequestPart.ofWhole(spec);
        if (whole != null) {
            onOwnAnswer(whole, now);
        }
    }

    /**
     * Handles an answer to a request of this host that has run for {@link #ANSWERED_MILLIS}. It is evidence for the parts of
     * the prompt, which the endpoint has processed, but not for the request, which may still crash the endpoint.
     */
    public void onAnswering(RequestSpec spec, long now) {
        RequestPart.ofPrompt(spec).forEach(part -> onOwnAnswer(part, now));
    }

    private void onOwnAnswer(RequestPart part, long now) {
        evidence(part).answered().record(part, now);
        if (evidence(part).crashes().contains(part) || verdicts.isRejected(part)) {
            onAnswered(part, now, now);
            tell(part, now);
        }
    }

    /** Handles an answer that another host reported. */
    public void onAnswerReported(RequestPart part, long ageMillis, long now) {
        long at = now - ageMillis;
        evidence(part).answered().recordTold(part, at);
        onAnswered(part, at, now);
    }

    /**
     * Handles a verdict that another host reported. A host that was just started does not know which parts were answered
     * before; its verdict is ended by a host that knows and whose own evidence is not enough.
     */
    public void onVerdictReported(String reporter, PartVerdict verdict, long now) {
        if (!verdicts.onReported(verdict, now)) {
            return;
        }
        changed(verdict, reporter);
        boolean isUntried = verdict.confidence() <= PartVerdicts.FIRM;
        boolean isAnswered = evidence(verdict.part()).answered().contains(verdict.part());
        if (!verdict.ended() && isUntried && isAnswered && !isExplained(verdict.part(), now)) {
            tell(verdict.part(), now);
            changed(verdicts.end(verdict.part(), now), null);
        }
    }

    private boolean isExplained(RequestPart part, long now) {
        return evidence(part).explanations(now).stream()
                .anyMatch(explanation -> explanation.part().equals(part));
    }

    /** Handles a new request; it becomes the trial of its rejected part if one is due on this host. */
    public void onArrived(RequestSpec spec, long now) {
        if (verdicts.isEmpty()) {
            return;
        }
        List<RequestPart> rejected = rejectedParts(spec);
        if (rejected.size() != 1) {
            // The result would not tell which of several parts crashes endpoints.
            return;
        }
        RequestPart part = rejected.get(0);
        if (verdicts.isTrialDue(part, now) && isTrialHost(part)) {
            verdicts.startTrial(part, spec.id(), now);
            events.add(new PartEvent.TrialStarted(part, spec.id()));
        }
    }

    /** Handles a failed attempt that may have run; a trial runs once only. */
    public void onAttemptFailed(RequestSpec spec) {
        if (!verdicts.isEmpty()) {
            rejectedParts(spec).forEach(part -> verdicts.endTrial(part, spec.id()));
        }
    }

    /** Handles the end of a request that no endpoint has run; if it was a trial, the next request is one. */
    public void onNotRun(RequestSpec spec, long now) {
        if (!verdicts.isEmpty()) {
            rejectedParts(spec).forEach(part -> verdicts.repeatTrial(part, spec.id(), now));
        }
    }

    /** Returns whether a request has a rejected part and is not the trial of that part. */
    public boolean isRejected(RequestSpec spec) {
        return rejectedPart(spec) != null;
    }

    /** Returns a rejected part of a request that is not the trial of that part, null if there is none. */
    public RequestPart rejectedPart(RequestSpec spec) {
        if (verdicts.isEmpty()) {
            return null;
        }
        return rejectedParts(spec).stream()
                .filter(part -> !verdicts.isTrial(part, spec.id()))
                .findFirst()
                .orElse(null);
    }

    /** Records that a request is rejected because of its parts. */
    public void onRejected(RequestSpec spec) {
        rejectedParts(spec).forEach(part -> events.add(new PartEvent.RequestRejected(part, spec.id())));
    }

    /** Evaluates the evidence; called several times a second. */
    public void tick(long now) {
        promptEvidence.crashes().expire(now);
        requestEvidence.crashes().expire(now);
        verdicts.expire(now);
        if (!isEvidenceNew) {
            return;
        }
        requestEvidence.explanations(now).forEach(explanation -> reject(explanation, now));
        promptEvidence.explanations(now).forEach(explanation -> reject(explanation, now));
        isEvidenceNew = promptEvidence.crashes().hasUnsettled(now)
                || requestEvidence.crashes().hasUnsettled(now);
    }

    private void reject(CrashEvents.Explanation explanation, long now) {
        if (!verdicts.isRejected(explanation.part())) {
            boolean firm = explanation.isSequence() && !explanation.answeredBefore();
            int confidence = firm ? PartVerdicts.FIRM : PartVerdicts.DOUBTFUL;
            changed(verdicts.reject(explanation.part(), confidence, now), null);
        }
    }

    private Evidence evidence(RequestPart part) {
        return part.isWholeRequest() ? requestEvidence : promptEvidence;
    }

    private void addCrash(EndpointProcess process, List<RequestPart> parts, long at, long now) {
        if (parts.isEmpty()) {
            return;
        }
        Evidence evidence = evidence(parts.get(0));
        evidence.crashes().add(process, parts, at);
        isEvidenceNew = true;
        for (RequestPart part : parts) {
            if (evidence.answered().contains(part) && !evidence.answered().isTold(part)) {
                tell(part, now);
            }
        }
    }

    private void onAnswered(RequestPart part, long at, long now) {
        evidence(part).crashes().onAnswered(part, at);
        if (verdicts.isRejected(part) && verdicts.isChangedBefore(part, at)) {
            changed(verdicts.end(part, now), null);
        }
    }

    private void tell(RequestPart part, long now) {
        AnsweredParts answered = evidence(part).answered();
        long at = answered.lastAt(part);
        answered.recordTold(part, at);
        events.add(new PartEvent.Answered(part, now - at));
    }

    private void changed(PartVerdict verdict, String reporter) {
        int crashes = evidence(verdict.part()).crashes().count(verdict.part());
        events.add(new PartEvent.VerdictChanged(verdict, crashes, reporter));
    }

    private List<RequestPart> rejectedParts(RequestSpec spec) {
        List<RequestPart> rejected = new ArrayList<>();
        RequestPart whole = RequestPart.ofWhole(spec);
        if (whole != null && verdicts.isRejected(whole)) {
            rejected.add(whole);
        }
        RequestPart.ofPrompt(spec).stream().filter(verdicts::isRejected).forEach(rejected::add);
        return rejected;
    }

    /** Returns whether this host sends the trials of a part; all hosts that see the same hosts alive choose one. */
    private boolean isTrialHost(RequestPart part) {
        return Rendezvous.isFirstAlive(host, hostAges, LIVE_MILLIS, TRIAL_ROLE + part);
    }
}
