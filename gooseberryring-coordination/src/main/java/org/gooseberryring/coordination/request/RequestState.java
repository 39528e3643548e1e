package org.gooseberryring.coordination.request;

import java.util.HashSet;
import java.util.Set;

import org.gooseberryring.coordination.route.RouteChoice;
import org.gooseberryring.coordination.route.RouteQuery;
import org.gooseberryring.state.Verdict;

/** Progress of one request between its arrival and the end of its last attempt. */
final class RequestState {
    /** Step that a request is at. */
    enum Step {
        /** Waits for the decision of the limiter. */
        ADMISSION,
        /** Waits for the answer to its claim. */
        CLAIM,
        /** Waits for an endpoint. */
        QUEUE,
        /** Runs at an endpoint or at a host of another failure domain. */
        RUNNING
    }

    private final RequestSpec spec;
    private final boolean relayed;
    private final Set<String> failedAt = new HashSet<>();
    private Step step = Step.ADMISSION;
    private boolean tokensReserved;
    private boolean claimed;
    private RouteChoice choice;
    private RouteQuery query;
    private int attempt;
    private int sends;
    private long dispatchedAt;
    private long lossEpoch;
    private boolean responseStarted;
    private boolean answerBegun;
    private boolean cancelled;
    private boolean answered;
    private boolean mayHaveRun;
    private long usedTokens;

    RequestState(RequestSpec spec, boolean relayed) {
        this.spec = spec;
        this.relayed = relayed;
    }

    RequestSpec spec() {
        return spec;
    }

    String id() {
        return spec.id();
    }

    Step step() {
        return step;
    }

    void step(Step next) {
        step = next;
    }

    /** Returns whether another host has admitted and claimed it already. */
    boolean isRelayed() {
        return relayed;
    }

    boolean needsTokens() {
        return !relayed && spec.organisation() != null && spec.costTokens() > 0;
    }

    boolean needsClaim() {
        return !relayed && !spec.idempotent() && spec.idempotencyKey() != null;
    }

    void tokensReserved(boolean reserved) {
        tokensReserved = reserved;
    }

    boolean hasTokensReserved() {
        return tokensReserved;
    }

    void claimed(boolean granted) {
        claimed = granted;
    }

    boolean isClaimed() {
        return claimed;
    }

    /** Notes the choice of the router, which holds until the next event. */
    void chosen(RouteChoice newChoice, RouteQuery newQuery) {
        choice = newChoice;
        query = newQuery;
    }

    RouteChoice choice() {
        return choice;
    }

    /** Returns the milliseconds after which an endpoint can be expected, the given ones if the router knows none. */
    long availableMillis(long otherwise) {
        return choice.availableMillis() > 0 ? choice.availableMillis() : otherwise;
    }

    /** Returns why the router found no endpoint for it. */
    RefusalReason unreachableReason() {
        return switch (choice.cause()) {
            case NOT_HELD -> RefusalReason.NOT_HELD;
            case BUSY -> RefusalReason.BUSY;
            case BACK_OFF -> RefusalReason.BACK_OFF;
            case NONE -> RefusalReason.NO_ENDPOINT;
        };
    }

    RouteQuery query() {
        return query;
    }

    void dispatched(long epoch, long now) {
        step = Step.RUNNING;
        attempt++;
        dispatchedAt = now;
        lossEpoch = epoch;
        responseStarted = false;
        cancelled = false;
    }

    int attempt() {
        return attempt;
    }

    boolean isRunning(int ofAttempt) {
        return step == Step.RUNNING && attempt == ofAttempt;
    }

    /** Returns the endpoint of the running attempt, or null if it was relayed. */
    String endpoint() {
        return choice.kind() == RouteChoice.Kind.ENDPOINT ? choice.id() : null;
    }

    long dispatchedAt() {
        return dispatchedAt;
    }

    long lossEpoch() {
        return lossEpoch;
    }

    void onResponseStarted() {
        responseStarted = true;
        answerBegun = true;
    }

    boolean hasResponseStarted() {
        return responseStarted;
    }

    /** Returns whether an answer has begun, at this attempt or an earlier one that it goes on from. */
    boolean hasAnswerBegun() {
        return answerBegun;
    }

    void cancelled() {
        cancelled = true;
    }

    boolean isCancelled() {
        return cancelled;
    }

    /** Notes that the caller has its final answer or is gone; only the running attempt is left to end. */
    void answered() {
        answered = true;
    }

    boolean isAnswered() {
        return answered;
    }

    /** Returns how often the request was sent; an attempt that found no connection does not count. */
    int sends() {
        return sends;
    }

    /** Returns the endpoints at which an attempt failed. */
    Set<String> failedAt() {
        return failedAt;
    }

    void attemptEnded(AttemptOutcome outcome) {
        if (outcome.sent()) {
            sends++;
        }
        if (outcome.verdict() != Verdict.COMPLETED && endpoint() != null) {
            failedAt.add(endpoint());
        }
        mayHaveRun |= outcome.verdict() != Verdict.NOT_RUN;
        usedTokens = Math.max(usedTokens, outcome.usedTokens());
    }

    /** Returns the verdict over all attempts; a running attempt may have run. */
    Verdict verdict() {
        return mayHaveRun || step == Step.RUNNING ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    }

    /** Returns the tokens to charge; all that was reserved if it may have run and the use is unknown. */
    long tokensToCharge() {
        if (!mayHaveRun) {
            return 0;
        }
        return usedTokens == 0 ? spec.costTokens() : Math.min(usedTokens, spec.costTokens());
    }
}
