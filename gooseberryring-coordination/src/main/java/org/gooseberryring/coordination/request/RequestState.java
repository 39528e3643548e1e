package org.gooseberryring.coordination.request;

import java.util.HashSet;
import java.util.Set;

import org.gooseberryring.coordination.route.RouteChoice;
import org.gooseberryring.coordination.route.RouteForecast;
import org.gooseberryring.coordination.route.RouteQuery;
import org.gooseberryring.state.Verdict;

/** Progress of one request between its arrival and the end of its last attempt. */
final class RequestState {
    /** Processing step of a request. */
    enum Step {
        /** Waits for the software version that began the stream which it takes up. */
        VERSION,
        /** Waits for the decision of the limiter. */
        ADMISSION,
        /** Waits for the result of its claim. */
        CLAIM,
        /** Waits for an endpoint. */
        QUEUE,
        /** Runs at an endpoint or at a host of another failure domain. */
        RUNNING
    }

    private final RequestSpec spec;
    private final boolean relayed;
    private final long arrivedAt;
    private final Set<String> failedAt = new HashSet<>();
    private long continuedMillis;
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
    private long responseStartedAt;
    private boolean answeredRecorded;
    private boolean anyResponseStarted;
    private boolean cancelled;
    private boolean completed;
    private boolean endsUnlessStarted;
    private boolean exchangeEnded;
    private boolean mayHaveRun;
    private long usedTokens;
    private String softwareVersion;
    private String endpointVersion;

    RequestState(RequestSpec spec, boolean relayed, long now) {
        this.spec = spec;
        this.relayed = relayed;
        this.arrivedAt = now;
    }

    long arrivedAt() {
        return arrivedAt;
    }

    /** Sets the software version that must serve the request, null if any may or it is not known. */
    void bind(String version) {
        softwareVersion = version;
    }

    /** Returns the software version that must serve the request, null if any may. */
    String softwareVersion() {
        return softwareVersion;
    }

    /** Returns the software version that the endpoint of the running attempt had when the attempt started. */
    String endpointVersion() {
        return endpointVersion;
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

    /** Returns whether another host has already admitted and claimed it. */
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

    /** Creates the query for its next attempt; {@code alone} is whether it must run alone on its endpoint. */
    RouteQuery createQuery(boolean alone) {
        return new RouteQuery(
                spec.id(),
                spec.target(),
                spec.prefixHash(),
                alone,
                relayed,
                spec.handling().prompt(),
                continued(spec.handling().objective()),
                startBy(),
                failedAt(),
                softwareVersion);
    }

    /** Returns the time by which the response must start, or go on after its endpoint broke off. */
    long startBy() {
        return Math.min(spec.deadline(), continued(spec.handling().startBy()));
    }

    /** Returns a time limit for the start of the response, counted from the end of the part that the caller has. */
    private long continued(long limit) {
        return limit == Long.MAX_VALUE ? limit : limit + continuedMillis;
    }

    /** Sets the choice of the router, which is valid until the next event. */
    void setChoice(RouteChoice newChoice, RouteQuery newQuery) {
        choice = newChoice;
        query = newQuery;
    }

    RouteChoice choice() {
        return choice;
    }

    /**
     * Returns the milliseconds until an endpoint is expected to be available, or the given value if the router knows
     * none.
     */
    long availableMillis(long otherwise) {
        return choice.availableMillis() > 0 ? choice.availableMillis() : otherwise;
    }

    /** Returns the reason why the router found no endpoint. */
    RefusalReason unreachableReason() {
        return switch (choice.cause()) {
            case NOT_HELD -> RefusalReason.NOT_HELD;
            case BUSY -> RefusalReason.BUSY;
            case BACK_OFF -> RefusalReason.BACK_OFF;
            case RATE_LIMITED -> RefusalReason.ENDPOINT_LIMIT;
            case NO_VERSION -> RefusalReason.NO_VERSION;
            case NO_PATH -> RefusalReason.NO_PATH;
            case NONE -> RefusalReason.NO_ENDPOINT;
        };
    }

    RouteQuery query() {
        return query;
    }

    void dispatched(long epoch, String version, long now) {
        step = Step.RUNNING;
        endpointVersion = version;
        attempt++;
        dispatchedAt = now;
        lossEpoch = epoch;
        responseStarted = false;
        answeredRecorded = false;
        cancelled = false;
        endsUnlessStarted = false;
    }

    /** Returns the effect that sends the running attempt to its endpoint, through another host if one is given. */
    RequestEffect.Dispatch dispatch(String via, RouteForecast forecast) {
        return new RequestEffect.Dispatch(id(), attempt, endpoint(), via, forecast);
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

    /** Records the start of the response; an end that was to be void in this case is. */
    void onResponseStarted(long now) {
        if (endsUnlessStarted) {
            endsUnlessStarted = false;
            completed = false;
            cancelled = false;
        }
        responseStarted = true;
        responseStartedAt = now;
        anyResponseStarted = true;
    }

    boolean hasResponseStarted() {
        return responseStarted;
    }

    /** Returns whether a response has started, at this attempt or at an earlier one that it resumes. */
    boolean hasAnyResponseStarted() {
        return anyResponseStarted;
    }

    /** Returns whether the response of the attempt has run for the given time, true only once for each attempt. */
    boolean takeAnswered(long answeredMillis, long now) {
        boolean isNew = responseStarted && !answeredRecorded && now - responseStartedAt >= answeredMillis;
        answeredRecorded |= isNew;
        return isNew;
    }

    void cancelled() {
        cancelled = true;
        endsUnlessStarted = false;
    }

    /**
     * Records that the running attempt ends unless its response has started.
     *
     * @param isRefused whether the caller gets its final response by that
     * @param isCancelled whether the attempt is cancelled
     */
    void endsUnlessStarted(boolean isRefused, boolean isCancelled) {
        endsUnlessStarted = true;
        completed = isRefused;
        cancelled = isCancelled;
    }

    boolean isCancelled() {
        return cancelled;
    }

    /**
     * Records that the caller has its final response or has disconnected; only the running attempt still has to end.
     */
    void completed() {
        completed = true;
        endsUnlessStarted = false;
    }

    boolean isCompleted() {
        return completed;
    }

    /** Returns whether the end of the running attempt is still void if its response has started. */
    boolean endsUnlessStarted() {
        return endsUnlessStarted;
    }

    void exchangeEnded() {
        exchangeEnded = true;
    }

    /** Returns whether the exchange of the caller has ended, after which no response can be written. */
    boolean hasExchangeEnded() {
        return exchangeEnded;
    }

    /** Returns how often the request was sent, not counting attempts without a connection. */
    int sends() {
        return sends;
    }

    /** Returns the endpoints at which an attempt failed. */
    Set<String> failedAt() {
        return failedAt;
    }

    void attemptEnded(AttemptOutcome outcome, long now) {
        if (outcome.sent()) {
            sends++;
        }
        if (outcome.verdict() != Verdict.COMPLETED && endpoint() != null) {
            failedAt.add(endpoint());
        }
        mayHaveRun |= outcome.verdict() != Verdict.NOT_RUN;
        if (responseStarted) {
            // A caller waits as long for the next event of a stream as for the first.
            continuedMillis = now - arrivedAt;
        }
        usedTokens = Math.max(usedTokens, outcome.usedTokens());
    }

    /** Returns the verdict over all attempts; a running attempt may have run. */
    Verdict verdict() {
        return mayHaveRun || step == Step.RUNNING ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    }

    /** Returns whether the response has not started in time, or has not ended in time. */
    boolean isOverdue(long now) {
        // Callers abandon a stream that does not start; a refusal before that gives them the outcome.
        boolean startOverdue = !responseStarted && now >= startBy();
        return startOverdue || now >= spec.deadline();
    }

    /** Returns whether a response ends now even if it has started: the caller has left, however young the request was. */
    boolean mustEnd(long now) {
        RequestPolicy handling = spec.handling();
        return handling.endsAtDeadline() && now >= spec.deadline() + handling.ageErrorMillis();
    }

    /** Returns the tokens to charge: all reserved tokens if the request may have run and the use is unknown. */
    long tokensToCharge() {
        if (!mayHaveRun) {
            return 0;
        }
        return usedTokens == 0 ? spec.costTokens() : Math.min(usedTokens, spec.costTokens());
    }
}
