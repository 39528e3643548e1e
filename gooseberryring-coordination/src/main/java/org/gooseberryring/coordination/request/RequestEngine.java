package org.gooseberryring.coordination.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.gooseberryring.coordination.claim.ClaimResult;
import org.gooseberryring.coordination.crash.BrokenAttempt;
import org.gooseberryring.coordination.crash.CrashingParts;
import org.gooseberryring.coordination.crash.RequestCrash;
import org.gooseberryring.coordination.limit.Admission;
import org.gooseberryring.coordination.limit.TokenAdmission;
import org.gooseberryring.coordination.queue.QueueItem;
import org.gooseberryring.coordination.queue.QueueOffer;
import org.gooseberryring.coordination.retry.CrashSuspects;
import org.gooseberryring.coordination.retry.Retries;
import org.gooseberryring.coordination.route.EndpointRouter;
import org.gooseberryring.coordination.route.RouteChoice;
import org.gooseberryring.coordination.route.RouteQuery;
import org.gooseberryring.coordination.stream.StreamVersions;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.Verdict;

/**
 * Processes each request from its arrival to its single final response.
 *
 * <p>A request is admitted by the limiter, claimed if it must not run twice, queued, sent to an endpoint and perhaps
 * sent again. It ends once: with a refusal, a replay, a complete response, or the disconnection of its caller. Late,
 * repeated and unknown events are ignored. If a request is refused after bytes of a response reached the caller, the
 * host closes the caller's connection instead of writing the refusal. All methods are called from one thread and return
 * the actions to take, in order.
 */
public final class RequestEngine {
    /** Time after which another endpoint or more capacity can be expected; load reports arrive within a second. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final TokenAdmission admission;
    private final RequestQueue queue;
    private final EndpointRouter router;
    private final Retries retries;
    private final CrashGuard crashes;
    private final StreamGuard streams;
    private final StalledRequests stalled;
    private final EndpointResults endpoints;
    private final long maxRunMillis;
    private final Map<String, RequestState> requests = new LinkedHashMap<>();
    private final AbandonedClaims abandonedClaims = new AbandonedClaims();
    private boolean shuttingDown;
    private List<RequestEffect> effects = new ArrayList<>();

    /**
     * Creates an engine without any request.
     *
     * @param admission token limiter
     * @param queue queue of requests that wait for an endpoint
     * @param router chooses endpoints
     * @param retries decides on retries
     * @param suspects requests that may crash endpoints
     * @param parts prompt parts that may crash endpoints
     * @param versions software versions that began streams
     * @param maxRunMillis longest time that an attempt may run before it is cancelled
     */
    public RequestEngine(
            TokenAdmission admission,
            RequestQueue queue,
            EndpointRouter router,
            Retries retries,
            CrashSuspects suspects,
            CrashingParts parts,
            StreamVersions versions,
            long maxRunMillis) {
        this.admission = admission;
        this.queue = queue;
        this.router = router;
        this.retries = retries;
        this.crashes = new CrashGuard(suspects, parts);
        this.streams = new StreamGuard(versions);
        this.stalled = new StalledRequests(router);
        this.endpoints = new EndpointResults(router, crashes);
        this.maxRunMillis = maxRunMillis;
    }

    /** Handles a caller's request with a valid key; it is ignored if a request with its identifier is open. */
    public List<RequestEffect> arrived(RequestSpec spec, long now) {
        return begin(new RequestState(spec, false, now), now);
    }

    /** Handles a request from a host of another failure domain, which has admitted and claimed it. */
    public List<RequestEffect> relayed(RequestSpec spec, long now) {
        return begin(new RequestState(spec, true, now), now);
    }

    /** Handles the decision of the limiter on a pending request. */
    public List<RequestEffect> admitted(String requestId, Admission decision, long now) {
        RequestState state = requests.get(requestId);
        if (state != null && state.step() == RequestState.Step.ADMISSION) {
            afterAdmission(state, decision, now);
        }
        return done(now);
    }

    /** Handles the result of a claim from the owner of the idempotency key. */
    public List<RequestEffect> onClaimResult(String requestId, ClaimResult claimResult, long now) {
        RequestState state = requests.get(requestId);
        if (state != null && state.step() == RequestState.Step.CLAIM) {
            afterClaim(state, claimResult, now);
        } else if (abandonedClaims.remove(requestId) && claimResult.decision() == ClaimResult.Decision.GRANTED) {
            effects.add(new RequestEffect.SettleClaim(requestId, Verdict.NOT_RUN));
        }
        return done(now);
    }

    /** Handles the first byte of an attempt's response. */
    public List<RequestEffect> onResponseStarted(String requestId, int attempt, long now) {
        RequestState state = requests.get(requestId);
        if (state != null && state.isRunning(attempt)) {
            state.onResponseStarted(now);
            streams.onResponseStarted(state, now);
            if (state.endpoint() != null) {
                router.onFirstByte(state.endpoint(), state.query(), now);
            }
        }
        return done(now);
    }

    /** Handles the end of an attempt; the host reports it exactly once for each attempt, including cancelled ones. */
    public List<RequestEffect> attemptEnded(String requestId, int attempt, AttemptOutcome outcome, long now) {
        RequestState state = requests.get(requestId);
        if (state == null || !state.isRunning(attempt)) {
            return done(now);
        }
        state.attemptEnded(outcome, now);
        if (state.query().alone()) {
            crashes.onEndedAlone(state.spec());
        }
        if (state.endpoint() != null && endpoints.onAttemptEnded(state, outcome, effects, now)) {
            isolateInQueue(state.spec().digest(), now);
        }
        streams.onAttemptEnded(state, outcome, now);
        crashes.onAttemptEnded(state.spec(), outcome, now);
        if (state.isCompleted() || outcome.verdict() == Verdict.COMPLETED) {
            end(state, outcome.verdict(), now);
        } else {
            retryOrRefuse(state, outcome, now);
        }
        return done(now);
    }

    /** Handles a caller that closed its connection. */
    public List<RequestEffect> callerGone(String requestId, long now) {
        RequestState state = requests.get(requestId);
        if (state == null || state.isCompleted()) {
            return done(now);
        }
        state.completed();
        if (state.step() == RequestState.Step.RUNNING) {
            AttemptEnd.cancelIfUnused(state, effects);
        } else {
            end(state, state.verdict(), now);
        }
        return done(now);
    }

    /**
     * Handles the end of a caller's exchange, after all other events of the exchange. The identifier of the request is
     * released when its attempt has ended as well.
     */
    public List<RequestEffect> exchangeEnded(String requestId) {
        RequestState state = requests.get(requestId);
        if (state == null) {
            return List.of(new RequestEffect.ReleaseIdentifier(requestId));
        }
        state.exchangeEnded();
        return List.of();
    }

    /** Processes timers; called at least every 100 ms. */
    public List<RequestEffect> tick(long now) {
        crashes.tick(now);
        streams.tick(now);
        router.tick(now);
        for (RequestSpec spec : queue.expire(now)) {
            refuse(requests.get(spec.id()), RefusalReason.DEADLINE, RETRY_AFTER_MILLIS, now);
        }
        for (RequestState state : List.copyOf(requests.values())) {
            checkTime(state, now);
        }
        return done(now);
    }

    /** Handles reports of other hosts on streams that requests may wait for. */
    public List<RequestEffect> streamsReported(long now) {
        for (RequestState state : List.copyOf(requests.values())) {
            if (state.step() == RequestState.Step.VERSION) {
                bindOrReject(state, now);
            }
        }
        return done(now);
    }

    /** Dispatches the requests that can be sent after the state of the router or the queue has changed. */
    public List<RequestEffect> changed(long now) {
        return done(now);
    }

    /** Handles a loss of an endpoint that another host reported; see {@link CrashSuspects#onLossesReported}. */
    public List<RequestEffect> crashReported(String reporter, RequestCrash crash, long now) {
        if (crashes.onCrashReported(reporter, crash, now)) {
            isolateInQueue(crash.digest(), now);
        }
        return done(now);
    }

    /**
     * Handles the crash of an endpoint that is detected after an attempt there has ended.
     *
     * @param process process that crashed
     * @param attempt attempt that broke
     */
    public List<RequestEffect> endpointCrashed(EndpointProcess process, BrokenAttempt attempt, long now) {
        String endpoint = process.endpoint();
        router.onEndpointLost(endpoint, router.lossEpoch(endpoint), now);
        effects.add(crashes.onCrash(process, attempt, now));
        return done(now);
    }

    /** Starts the shutdown: new requests are refused, the others run to completion. */
    public List<RequestEffect> shuttingDown(long now) {
        shuttingDown = true;
        return done(now);
    }

    /** Refuses all requests that are not running at an endpoint. */
    public List<RequestEffect> refuseWaiting(long now) {
        for (RequestState state : List.copyOf(requests.values())) {
            if (state.step() != RequestState.Step.RUNNING) {
                refuse(state, RefusalReason.SHUTDOWN, RETRY_AFTER_MILLIS, now);
            }
        }
        return done(now);
    }

    /**
     * Ends all requests that are running at an endpoint and whose response has not started, because this host stops. Their
     * callers get a refusal that does not claim that the request has not run.
     */
    public List<RequestEffect> endRunning(long now) {
        for (RequestState state : List.copyOf(requests.values())) {
            if (state.step() == RequestState.Step.RUNNING && !state.isCompleted()) {
                AttemptEnd.refuseUnlessStarted(state, RefusalReason.HOST_ENDS, RETRY_AFTER_MILLIS, effects);
            }
        }
        return done(now);
    }

    /** Returns the number of requests that have not ended. */
    public int size() {
        return requests.size();
    }

    private List<RequestEffect> begin(RequestState state, long now) {
        if (requests.putIfAbsent(state.id(), state) != null) {
            return done(now);
        }
        crashes.onArrived(state.spec(), now);
        if (shuttingDown) {
            refuse(state, RefusalReason.SHUTDOWN, RETRY_AFTER_MILLIS, now);
        } else if (crashes.rejection(state.spec()) != null) {
            refuse(state, crashes.rejection(state.spec()), 0, now);
        } else if (state.spec().deadline() <= now) {
            refuse(state, RefusalReason.DEADLINE, RETRY_AFTER_MILLIS, now);
        } else {
            state.step(RequestState.Step.VERSION);
            bindOrReject(state, now);
        }
        return done(now);
    }

    /** Continues with a request whose software version is known; rejects one whose version will not become known. */
    private void bindOrReject(RequestState state, long now) {
        if (streams.bind(state, now)) {
            state.step(RequestState.Step.ADMISSION);
            admit(state, now);
        } else if (streams.isHopeless(state, now)) {
            effects.add(new RequestEffect.StreamTakenUp(state.id(), null));
            refuse(state, RefusalReason.UNKNOWN_VERSION, RETRY_AFTER_MILLIS, now);
        } else {
            effects.add(new RequestEffect.ReadStreams(state.id()));
        }
    }

    private void admit(RequestState state, long now) {
        if (state.softwareVersion() != null) {
            effects.add(new RequestEffect.StreamTakenUp(state.id(), state.softwareVersion()));
        }
        if (choose(state, now).kind() == RouteChoice.Kind.UNREACHABLE) {
            refuse(state, state.unreachableReason(), state.availableMillis(RETRY_AFTER_MILLIS), now);
        } else {
            Admission decision = Admission.admitted();
            if (state.needsTokens()) {
                RequestSpec spec = state.spec();
                decision = admission.reserve(spec.id(), spec.organisation(), spec.costTokens(), now);
            }
            afterAdmission(state, decision, now);
        }
    }

    private void afterAdmission(RequestState state, Admission decision, long now) {
        switch (decision.kind()) {
            case REFUSED -> {
                state.tokensReserved(false);
                refuse(state, RefusalReason.RATE, decision.retryAfterMillis(), now);
            }
            case PENDING -> state.tokensReserved(true);
            default -> {
                state.tokensReserved(state.needsTokens());
                claimOrQueue(state, now);
            }
        }
    }

    private void claimOrQueue(RequestState state, long now) {
        if (state.needsClaim()) {
            state.step(RequestState.Step.CLAIM);
            effects.add(ClaimEffects.claim(state.spec()));
        } else {
            enqueue(state, now);
        }
    }

    private void afterClaim(RequestState state, ClaimResult claimResult, long now) {
        if (claimResult.decision() == ClaimResult.Decision.GRANTED) {
            state.claimed(true);
            enqueue(state, now);
            return;
        }
        effects.add(ClaimEffects.response(state.id(), claimResult, RETRY_AFTER_MILLIS));
        state.step(RequestState.Step.ADMISSION);
        end(state, Verdict.NOT_RUN, now);
    }

    private void enqueue(RequestState state, long now) {
        state.step(RequestState.Step.QUEUE);
        boolean isolated = crashes.isSuspect(state.spec()) || streams.mustIsolate(state, now);
        QueueOffer<RequestSpec> offer = queue.offer(state.spec(), state.startBy(), isolated, now);
        for (QueueItem<RequestSpec> item : offer.evicted()) {
            refuse(requests.get(item.id()), RefusalReason.QUEUE_FULL, RETRY_AFTER_MILLIS, now);
        }
        if (offer.kind() == QueueOffer.Kind.FULL) {
            refuse(state, RefusalReason.QUEUE_FULL, offer.retryAfterMillis(), now);
        } else if (offer.kind() == QueueOffer.Kind.DEADLINE_UNREACHABLE) {
            refuse(state, RefusalReason.DEADLINE, offer.retryAfterMillis(), now);
        }
    }

    /** Queues waiting copies of a new suspect separately, so that they do not block others for their target. */
    private void isolateInQueue(String digest, long now) {
        for (RequestState state : List.copyOf(requests.values())) {
            if (state.step() == RequestState.Step.QUEUE && state.spec().digest().equals(digest)) {
                queue.remove(state.spec());
                enqueue(state, now);
            }
        }
    }

    /** Dispatches all requests that can be sent; unreachable and quarantined requests are removed and refused. */
    private void dispatchWaiting(long now) {
        RequestSpec spec = queue.poll(now, candidate -> canLeaveQueue(requests.get(candidate.id()), now));
        while (spec != null) {
            RequestState state = requests.get(spec.id());
            if (crashes.rejection(spec) != null) {
                refuse(state, crashes.rejection(spec), 0, now);
            } else if (state.choice().kind() == RouteChoice.Kind.UNREACHABLE) {
                refuse(state, state.unreachableReason(), state.availableMillis(RETRY_AFTER_MILLIS), now);
            } else {
                dispatch(state, now);
            }
            spec = queue.poll(now, candidate -> canLeaveQueue(requests.get(candidate.id()), now));
        }
    }

    private boolean canLeaveQueue(RequestState state, long now) {
        if (crashes.rejection(state.spec()) != null) {
            return true;
        }
        return !crashes.mustWait(state.spec(), now) && choose(state, now).kind() != RouteChoice.Kind.WAIT;
    }

    private RouteChoice choose(RequestState state, long now) {
        RouteQuery query = state.createQuery(crashes.isSuspect(state.spec()));
        RouteChoice choice = router.choose(query, now);
        state.setChoice(choice, query);
        return choice;
    }

    private void dispatch(RequestState state, long now) {
        if (state.attempt() == 0) {
            retries.firstAttempt(state.spec(), now);
        }
        if (state.query().alone()) {
            crashes.onStartedAlone(state.spec());
        }
        String endpoint = state.endpoint();
        if (endpoint == null) {
            state.dispatched(0, "", now);
            effects.add(new RequestEffect.Relay(
                    state.id(), state.attempt(), state.choice().id()));
        } else {
            state.dispatched(router.lossEpoch(endpoint), router.softwareVersion(endpoint), now);
            String via = router.via(endpoint, now);
            effects.add(state.dispatch(via, router.onAttemptStarted(endpoint, via, state.query(), now)));
        }
    }

    private void retryOrRefuse(RequestState state, AttemptOutcome outcome, long now) {
        RequestSpec spec = state.spec();
        boolean bytes = outcome.bytesReachedCaller() || state.hasResponseStarted();
        state.step(RequestState.Step.QUEUE);
        if (crashes.rejection(spec) != null) {
            refuse(state, crashes.rejection(spec), 0, now);
        } else if (streams.mayContinue(state, now) && retries.retry(spec, outcome, bytes, state.sends(), now)) {
            enqueue(state, now);
        } else if (state.verdict() == Verdict.NOT_RUN) {
            refuse(state, RefusalReason.NO_ENDPOINT, RETRY_AFTER_MILLIS, now);
        } else {
            refuse(state, RefusalReason.INCOMPLETE, RETRY_AFTER_MILLIS, now);
        }
    }

    private void checkTime(RequestState state, long now) {
        boolean isOverdue = state.isOverdue(now);
        if (state.step() == RequestState.Step.RUNNING) {
            crashes.recordIfAnswered(state, now);
            if (isOverdue && !state.isCompleted()) {
                endOverdue(state, now);
            }
            if (now - state.dispatchedAt() >= maxRunMillis) {
                AttemptEnd.cancel(state, effects);
            } else if (stalled.shouldMove(state, now)) {
                AttemptEnd.cancelUnlessStarted(state, effects);
            }
        } else if (isOverdue && state.step() != RequestState.Step.QUEUE) {
            refuse(state, RefusalReason.DEADLINE, RETRY_AFTER_MILLIS, now);
        } else if (state.step() == RequestState.Step.VERSION) {
            bindOrReject(state, now);
        }
    }

    /** Ends a running request whose response has not started, or has not ended, in time. */
    private void endOverdue(RequestState state, long now) {
        if (state.mustEnd(now)) {
            refuse(state, RefusalReason.TIMEOUT, RETRY_AFTER_MILLIS, now);
            AttemptEnd.cancelIfUnused(state, effects);
        } else {
            AttemptEnd.endOverdue(state, RETRY_AFTER_MILLIS, effects);
        }
    }

    /** Sends the final response at once; a running attempt is tracked until it ends. */
    private void refuse(RequestState state, RefusalReason reason, long retryAfterMillis, long now) {
        crashes.onRejected(state.spec(), reason);
        effects.add(reason.refusal(state.id(), state.verdict(), retryAfterMillis));
        state.completed();
        if (state.step() != RequestState.Step.RUNNING) {
            end(state, state.verdict(), now);
        }
    }

    /** Removes a request and releases its queue place, claim and tokens. */
    private void end(RequestState state, Verdict verdict, long now) {
        requests.remove(state.id());
        router.onRequestEnded(state.id());
        crashes.onEnded(state.spec(), verdict, now);
        effects.addAll(streams.onEnded(state, verdict, now));
        if (state.step() == RequestState.Step.QUEUE) {
            queue.remove(state.spec());
        }
        if (state.step() == RequestState.Step.CLAIM) {
            abandonedClaims.add(state.id());
        }
        if (state.isClaimed() && verdict != Verdict.MAY_HAVE_RUN) {
            effects.add(new RequestEffect.SettleClaim(state.id(), verdict));
        }
        if (state.hasTokensReserved()) {
            admission.settle(state.id(), state.tokensToCharge(), now);
        }
        if (state.hasExchangeEnded()) {
            effects.add(new RequestEffect.ReleaseIdentifier(state.id()));
        }
    }

    private List<RequestEffect> done(long now) {
        dispatchWaiting(now);
        effects.addAll(crashes.takeEvents());
        List<RequestEffect> result = effects;
        effects = new ArrayList<>();
        return result;
    }
}
