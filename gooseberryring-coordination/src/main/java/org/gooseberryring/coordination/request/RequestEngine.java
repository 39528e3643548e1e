package org.gooseberryring.coordination.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberryring.coordination.claim.ClaimResult;
import org.gooseberryring.coordination.limit.Admission;
import org.gooseberryring.coordination.limit.TokenAdmission;
import org.gooseberryring.coordination.queue.QueueItem;
import org.gooseberryring.coordination.queue.QueueOffer;
import org.gooseberryring.coordination.retry.CrashSuspects;
import org.gooseberryring.coordination.retry.Retries;
import org.gooseberryring.coordination.route.EndpointRouter;
import org.gooseberryring.coordination.route.RouteChoice;
import org.gooseberryring.coordination.route.RouteQuery;
import org.gooseberryring.state.Verdict;

/**
 * Takes each request from its arrival to its single final answer.
 *
 * <p>A request is admitted by the limiter, claimed if it must not run twice, queued, sent to an endpoint and perhaps
 * sent again. It ends once: by a refusal, by a replay, by a complete answer, or because its caller is gone. Late,
 * repeated and unknown events are ignored. If a refusal comes after bytes of an answer reached the caller, the host
 * breaks the caller's connection instead of writing it. All methods are called from one thread and return the actions
 * to take, in order.
 */
public final class RequestEngine {
    /** Time after which another endpoint or more room can be expected; load reports come within a second. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** Organisation under which the idempotency keys of open routes are claimed. */
    private static final String OPEN_ROUTE = "";

    private final TokenAdmission admission;
    private final RequestQueue queue;
    private final EndpointRouter router;
    private final Retries retries;
    private final CrashSuspects suspects;
    private final long maxRunMillis;
    private final Map<String, RequestState> works = new LinkedHashMap<>();
    private final Set<String> runningSuspects = new HashSet<>();
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
     * @param maxRunMillis longest time that an attempt may run before it is cancelled
     */
    public RequestEngine(
            TokenAdmission admission,
            RequestQueue queue,
            EndpointRouter router,
            Retries retries,
            CrashSuspects suspects,
            long maxRunMillis) {
        this.admission = admission;
        this.queue = queue;
        this.router = router;
        this.retries = retries;
        this.suspects = suspects;
        this.maxRunMillis = maxRunMillis;
    }

    /** A caller's request arrived and its key is valid; it is ignored if a request with its identifier is open. */
    public List<RequestEffect> arrived(RequestSpec spec, long now) {
        return begin(new RequestState(spec, false), now);
    }

    /** A request arrived from a host of another failure domain, which has admitted and claimed it. */
    public List<RequestEffect> relayed(RequestSpec spec, long now) {
        return begin(new RequestState(spec, true), now);
    }

    /** The limiter decided on a request that was pending. */
    public List<RequestEffect> admitted(String requestId, Admission decision, long now) {
        RequestState work = works.get(requestId);
        if (work != null && work.step() == RequestState.Step.ADMISSION) {
            afterAdmission(work, decision, now);
        }
        return done(now);
    }

    /** The owner of an idempotency key answered a claim. */
    public List<RequestEffect> onClaimResult(String requestId, ClaimResult answer, long now) {
        RequestState work = works.get(requestId);
        if (work != null && work.step() == RequestState.Step.CLAIM) {
            afterClaim(work, answer, now);
        } else if (abandonedClaims.remove(requestId) && answer.decision() == ClaimResult.Decision.GRANTED) {
            effects.add(new RequestEffect.SettleClaim(requestId, Verdict.NOT_RUN));
        }
        return done(now);
    }

    /** The first byte of an attempt's answer arrived. */
    public List<RequestEffect> onResponseStarted(String requestId, int attempt, long now) {
        RequestState work = works.get(requestId);
        if (work != null && work.isRunning(attempt)) {
            work.onResponseStarted();
            if (work.endpoint() != null) {
                router.onFirstByte(work.endpoint(), work.query(), now);
            }
        }
        return done(now);
    }

    /** An attempt ended; the host reports this exactly once for each attempt, also for a cancelled one. */
    public List<RequestEffect> attemptEnded(String requestId, int attempt, AttemptOutcome outcome, long now) {
        RequestState work = works.get(requestId);
        if (work == null || !work.isRunning(attempt)) {
            return done(now);
        }
        work.attemptEnded(outcome);
        if (work.query().alone()) {
            runningSuspects.remove(work.spec().digest());
        }
        if (work.endpoint() != null) {
            countAtEndpoint(work, outcome, now);
        }
        if (work.isAnswered() || outcome.verdict() == Verdict.COMPLETED) {
            end(work, outcome.verdict(), now);
        } else {
            retryOrRefuse(work, outcome, now);
        }
        return done(now);
    }

    /** The caller closed its connection. */
    public List<RequestEffect> callerGone(String requestId, long now) {
        RequestState work = works.get(requestId);
        if (work == null || work.isAnswered()) {
            return done(now);
        }
        work.answered();
        if (work.step() == RequestState.Step.RUNNING) {
            cancelIfUseless(work);
        } else {
            end(work, work.verdict(), now);
        }
        return done(now);
    }

    /** Time passed; called at least every 100 ms. */
    public List<RequestEffect> tick(long now) {
        suspects.expire(now);
        router.tick(now);
        for (RequestSpec spec : queue.expire(now)) {
            refuse(works.get(spec.id()), RefusalReason.DEADLINE, RETRY_AFTER_MILLIS, now);
        }
        for (RequestState work : List.copyOf(works.values())) {
            checkTime(work, now);
        }
        return done(now);
    }

    /** What the router or the queue knows has changed; what can be sent now is sent. */
    public List<RequestEffect> changed(long now) {
        return done(now);
    }

    /** Another host saw endpoints lost that ran a request; see {@link CrashSuspects#reported}. */
    public List<RequestEffect> quarantined(String reporter, String digest, int losses, long now) {
        boolean known = suspects.isSuspect(digest);
        suspects.reported(reporter, digest, losses, now);
        if (!known) {
            setApart(digest, now);
        }
        return done(now);
    }

    /**
     * An endpoint that ran a request is found to have crashed, after the attempt there has ended.
     *
     * @param digest digest of the request
     * @param endpoint start of the endpoint that crashed
     */
    public List<RequestEffect> endpointCrashed(String digest, String endpoint, long now) {
        router.onEndpointLost(endpoint, router.lossEpoch(endpoint), now);
        effects.add(new RequestEffect.SpreadQuarantine(digest, suspects.endpointLost(digest, endpoint, now)));
        return done(now);
    }

    /** The host shuts down: new requests are refused, the others run to their end. */
    public List<RequestEffect> shuttingDown(long now) {
        shuttingDown = true;
        return done(now);
    }

    /** The host will not serve what still waits: requests that no endpoint runs are refused. */
    public List<RequestEffect> refuseWaiting(long now) {
        for (RequestState work : List.copyOf(works.values())) {
            if (work.step() != RequestState.Step.RUNNING) {
                refuse(work, RefusalReason.SHUTDOWN, RETRY_AFTER_MILLIS, now);
            }
        }
        return done(now);
    }

    /** Returns the number of requests that have not ended. */
    public int size() {
        return works.size();
    }

    private List<RequestEffect> begin(RequestState work, long now) {
        if (works.containsKey(work.id())) {
            return done(now);
        }
        works.put(work.id(), work);
        if (shuttingDown) {
            refuse(work, RefusalReason.SHUTDOWN, RETRY_AFTER_MILLIS, now);
        } else if (suspects.isQuarantined(work.spec().digest())) {
            refuse(work, RefusalReason.QUARANTINED, 0, now);
        } else if (work.spec().deadline() <= now) {
            refuse(work, RefusalReason.DEADLINE, RETRY_AFTER_MILLIS, now);
        } else if (choose(work, now).kind() == RouteChoice.Kind.UNREACHABLE) {
            refuse(work, work.unreachableReason(), work.availableMillis(RETRY_AFTER_MILLIS), now);
        } else {
            Admission decision = Admission.admitted();
            if (work.needsTokens()) {
                RequestSpec spec = work.spec();
                decision = admission.reserve(spec.id(), spec.organisation(), spec.costTokens(), now);
            }
            afterAdmission(work, decision, now);
        }
        return done(now);
    }

    private void afterAdmission(RequestState work, Admission decision, long now) {
        switch (decision.kind()) {
            case REFUSED -> {
                work.tokensReserved(false);
                refuse(work, RefusalReason.RATE, decision.retryAfterMillis(), now);
            }
            case PENDING -> work.tokensReserved(true);
            default -> {
                work.tokensReserved(work.needsTokens());
                claimOrQueue(work, now);
            }
        }
    }

    private void claimOrQueue(RequestState work, long now) {
        if (work.needsClaim()) {
            RequestSpec spec = work.spec();
            work.step(RequestState.Step.CLAIM);
            String organisation = spec.organisation() == null ? OPEN_ROUTE : spec.organisation();
            effects.add(new RequestEffect.Claim(spec.id(), organisation, spec.idempotencyKey(), spec.digest()));
        } else {
            enqueue(work, now);
        }
    }

    private void afterClaim(RequestState work, ClaimResult answer, long now) {
        switch (answer.decision()) {
            case GRANTED -> {
                work.claimed(true);
                enqueue(work, now);
            }
            case RECORDED -> {
                effects.add(new RequestEffect.Replay(work.id()));
                leaveClaim(work, now);
            }
            case MAY_HAVE_RUN -> {
                effects.add(RefusalReason.ALREADY_CLAIMED.refusal(work.id(), Verdict.MAY_HAVE_RUN, 0));
                leaveClaim(work, now);
            }
            case KEY_REUSED -> {
                effects.add(RefusalReason.KEY_REUSED.refusal(work.id(), Verdict.NOT_RUN, 0));
                leaveClaim(work, now);
            }
            default -> {
                long after = Math.max(RETRY_AFTER_MILLIS, answer.retryAfterMillis());
                effects.add(RefusalReason.CLAIM_UNAVAILABLE.refusal(work.id(), Verdict.NOT_RUN, after));
                leaveClaim(work, now);
            }
        }
    }

    private void leaveClaim(RequestState work, long now) {
        work.step(RequestState.Step.ADMISSION);
        end(work, Verdict.NOT_RUN, now);
    }

    private void enqueue(RequestState work, long now) {
        work.step(RequestState.Step.QUEUE);
        QueueOffer<RequestSpec> offer =
                queue.offer(work.spec(), suspects.isSuspect(work.spec().digest()), now);
        for (QueueItem<RequestSpec> item : offer.evicted()) {
            refuse(works.get(item.id()), RefusalReason.QUEUE_FULL, RETRY_AFTER_MILLIS, now);
        }
        if (offer.kind() == QueueOffer.Kind.FULL) {
            refuse(work, RefusalReason.QUEUE_FULL, offer.retryAfterMillis(), now);
        } else if (offer.kind() == QueueOffer.Kind.DEADLINE_UNREACHABLE) {
            refuse(work, RefusalReason.DEADLINE, offer.retryAfterMillis(), now);
        }
    }

    /** Queues waiting copies of a new suspect apart, so that they do not hold up others for their target. */
    private void setApart(String digest, long now) {
        for (RequestState work : List.copyOf(works.values())) {
            if (work.step() == RequestState.Step.QUEUE && work.spec().digest().equals(digest)) {
                queue.remove(work.spec());
                enqueue(work, now);
            }
        }
    }

    /** Sends what can be sent; an unreachable or quarantined request is taken out to be refused. */
    private void dispatchWaiting(long now) {
        RequestSpec spec = queue.poll(now, candidate -> canLeaveQueue(works.get(candidate.id()), now));
        while (spec != null) {
            RequestState work = works.get(spec.id());
            if (suspects.isQuarantined(spec.digest())) {
                refuse(work, RefusalReason.QUARANTINED, 0, now);
            } else if (work.choice().kind() == RouteChoice.Kind.UNREACHABLE) {
                refuse(work, work.unreachableReason(), work.availableMillis(RETRY_AFTER_MILLIS), now);
            } else {
                dispatch(work, now);
            }
            spec = queue.poll(now, candidate -> canLeaveQueue(works.get(candidate.id()), now));
        }
    }

    private boolean canLeaveQueue(RequestState work, long now) {
        String digest = work.spec().digest();
        if (suspects.isQuarantined(digest)) {
            return true;
        }
        if (suspects.isSuspect(digest) && (runningSuspects.contains(digest) || suspects.isHeld(digest, now))) {
            return false;
        }
        return choose(work, now).kind() != RouteChoice.Kind.WAIT;
    }

    private RouteChoice choose(RequestState work, long now) {
        RequestSpec spec = work.spec();
        boolean alone = suspects.isSuspect(spec.digest());
        RouteQuery query = new RouteQuery(
                spec.target(),
                spec.prefixHash(),
                alone,
                work.isRelayed(),
                spec.handling().prompt(),
                spec.handling().objective(),
                Math.min(spec.deadline(), spec.handling().startBy()),
                work.failedAt());
        RouteChoice choice = router.choose(query, now);
        work.chosen(choice, query);
        return choice;
    }

    private void dispatch(RequestState work, long now) {
        if (work.attempt() == 0) {
            retries.firstAttempt(work.spec(), now);
        }
        if (work.query().alone()) {
            runningSuspects.add(work.spec().digest());
        }
        String endpoint = work.endpoint();
        if (endpoint == null) {
            work.dispatched(0, now);
            effects.add(new RequestEffect.Relay(
                    work.id(), work.attempt(), work.choice().id()));
        } else {
            work.dispatched(router.lossEpoch(endpoint), now);
            effects.add(new RequestEffect.Dispatch(
                    work.id(), work.attempt(), endpoint, router.onAttemptStarted(endpoint, work.query(), now)));
        }
    }

    private void countAtEndpoint(RequestState work, AttemptOutcome outcome, long now) {
        String endpoint = work.endpoint();
        String digest = work.spec().digest();
        if (outcome.endpointLost()) {
            router.onEndpointLost(endpoint, work.lossEpoch(), now);
            if (outcome.verdict() != Verdict.NOT_RUN) {
                boolean known = suspects.isSuspect(digest);
                int losses = suspects.endpointLost(digest, endpoint + '#' + work.lossEpoch(), now);
                if (!known) {
                    setApart(digest, now);
                }
                effects.add(new RequestEffect.SpreadQuarantine(digest, losses));
            }
        } else if (outcome.verdict() == Verdict.COMPLETED) {
            router.onAttemptSucceeded(endpoint, outcome.firstTokenMillis(), now);
            if (work.query().alone()) {
                suspects.completedAlone(digest);
            }
        } else if (!work.isCancelled()) {
            router.onAttemptFailed(endpoint, now);
        }
        router.onAttemptEnded(endpoint, work.query(), now);
    }

    private void retryOrRefuse(RequestState work, AttemptOutcome outcome, long now) {
        RequestSpec spec = work.spec();
        boolean bytes = outcome.bytesReachedCaller() || work.hasResponseStarted();
        work.step(RequestState.Step.QUEUE);
        if (suspects.isQuarantined(spec.digest())) {
            refuse(work, RefusalReason.QUARANTINED, 0, now);
        } else if (retries.retry(spec, outcome, bytes, work.sends(), now)) {
            enqueue(work, now);
        } else if (work.verdict() == Verdict.NOT_RUN) {
            refuse(work, RefusalReason.NO_ENDPOINT, RETRY_AFTER_MILLIS, now);
        } else {
            refuse(work, RefusalReason.INCOMPLETE, RETRY_AFTER_MILLIS, now);
        }
    }

    private void checkTime(RequestState work, long now) {
        // Callers leave a stream that does not begin; an answer before that tells them what became of it.
        boolean unstarted =
                !work.hasResponseStarted() && now >= work.spec().handling().startBy();
        boolean late = unstarted || now >= work.spec().deadline();
        if (work.step() == RequestState.Step.RUNNING) {
            boolean cutOff =
                    !work.hasResponseStarted() || work.spec().handling().endsAtDeadline();
            if (late && !work.isAnswered() && cutOff) {
                refuse(work, RefusalReason.TIMEOUT, RETRY_AFTER_MILLIS, now);
                cancelIfUseless(work);
            }
            if (now - work.dispatchedAt() >= maxRunMillis || servedFasterElsewhere(work, now)) {
                cancel(work);
            }
        } else if (late && work.step() != RequestState.Step.QUEUE) {
            refuse(work, RefusalReason.DEADLINE, RETRY_AFTER_MILLIS, now);
        }
    }

    /** Returns whether a request that may repeat waits in vain at its endpoint while another one has room. */
    private boolean servedFasterElsewhere(RequestState work, long now) {
        RequestSpec spec = work.spec();
        boolean waits = !work.isAnswered() && !work.hasAnswerBegun() && work.endpoint() != null;
        boolean repeats =
                spec.idempotent() && work.sends() + 1 < spec.handling().maxSends();
        return waits
                && repeats
                && router.isStalled(work.endpoint(), work.query(), now)
                && router.choose(work.query(), now).kind() == RouteChoice.Kind.ENDPOINT;
    }

    /** A running request that must not run twice is left to finish if its outcome is to be recorded. */
    private void cancelIfUseless(RequestState work) {
        if (work.spec().idempotent() || work.spec().handling().cancelsUnused()) {
            cancel(work);
        }
    }

    private void cancel(RequestState work) {
        if (!work.isCancelled()) {
            work.cancelled();
            if (work.endpoint() != null) {
                effects.add(new RequestEffect.Cancel(work.id(), work.attempt(), work.endpoint()));
            }
        }
    }

    /** Gives the final answer at once; a running attempt is followed to its end. */
    private void refuse(RequestState work, RefusalReason reason, long retryAfterMillis, long now) {
        effects.add(reason.refusal(work.id(), work.verdict(), retryAfterMillis));
        work.answered();
        if (work.step() != RequestState.Step.RUNNING) {
            end(work, work.verdict(), now);
        }
    }

    /** Forgets a request and gives back what it holds. */
    private void end(RequestState work, Verdict verdict, long now) {
        works.remove(work.id());
        if (work.step() == RequestState.Step.QUEUE) {
            queue.remove(work.spec());
        }
        if (work.step() == RequestState.Step.CLAIM) {
            abandonedClaims.add(work.id());
        }
        if (work.isClaimed() && verdict != Verdict.MAY_HAVE_RUN) {
            effects.add(new RequestEffect.SettleClaim(work.id(), verdict));
        }
        if (work.hasTokensReserved()) {
            admission.settle(work.id(), work.tokensToCharge(), now);
        }
    }

    private List<RequestEffect> done(long now) {
        dispatchWaiting(now);
        List<RequestEffect> result = effects;
        effects = new ArrayList<>();
        return result;
    }
}
