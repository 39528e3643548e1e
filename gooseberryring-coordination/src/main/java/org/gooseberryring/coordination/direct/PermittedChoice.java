package org.gooseberryring.coordination.direct;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.gooseberryring.coordination.ratelimit.PermitGrant;
import org.gooseberryring.coordination.ratelimit.PermitHolder;
import org.gooseberryring.coordination.ratelimit.PermitPurpose;
import org.gooseberryring.coordination.ratelimit.PermitRequest;
import org.gooseberryring.coordination.ratelimit.RateLimit;
import org.gooseberryring.coordination.route.RouteChoice;
import org.gooseberryring.coordination.route.RouteQuery;
import org.gooseberryring.state.EndpointProcess;

/**
 * Chooses among endpoints with free capacity within their rate limits.
 *
 * <p>A limited endpoint gets a request only if this host has a permit of it. A request waits a few milliseconds for a
 * permit of an endpoint that costs less, and for longer only if all endpoints are limited.
 */
public final class PermittedChoice {
    /** Time for which a request waits for a permit although it could be sent to another endpoint. */
    private static final long MAX_PERMIT_MILLIS = 50;

    /** Time by which a permit may be later than expected: an interval of the issuer and the way of the grant. */
    private static final long PERMIT_DELAY_MILLIS = 100;

    /** Maximum number of effects of rate limits that are kept until they are taken. */
    private static final int MAX_LIMITED_REQUESTS = 1_024;

    private final Random random;
    private final PermitHolder permits = new PermitHolder(PermitPurpose.REQUEST);
    private final List<LimitedRequest> limitedRequests = new ArrayList<>();
    private final Set<String> heldRequests = new HashSet<>();
    private Skipped lastSkipped = Skipped.NONE;
    private LimitedRequest lastTooLate;

    /** Endpoint with free capacity and the cost of sending a request to it. */
    record Candidate(DirectEndpoint endpoint, double cost) {
        boolean isFor(DirectEndpoint other) {
            return endpoint == other;
        }

        String id() {
            return endpoint.registration().id();
        }

        EndpointProcess process() {
            return endpoint.registration().process();
        }
    }

    /** Limited endpoint that the last choice passed over, null if it passed over none. */
    private record Skipped(String requestId, String endpoint) {
        private static final Skipped NONE = new Skipped("", null);
    }

    /** Creates a choice without limits; {@code random}, seeded by the caller, decides among endpoints of equal cost. */
    public PermittedChoice(Random random) {
        this.random = random;
    }

    /** Sets the rate limit of a process of an endpoint. */
    public void setLimit(EndpointProcess process, RateLimit limit) {
        permits.setLimit(process, limit);
    }

    /** Returns whether the process of an endpoint has a rate limit. */
    boolean isLimited(DirectEndpoint endpoint) {
        return permits.isLimited(endpoint.registration().process());
    }

    /** Handles permits to send requests to a limited endpoint. */
    public void onGrant(PermitGrant grant, long now) {
        permits.onGrant(grant, now);
    }

    /** Returns the requests for permits that are due. */
    public List<PermitRequest> takePermitRequests(long now) {
        return permits.takeRequests(now);
    }

    /** Returns and clears the effects that rate limits had on requests. */
    public List<LimitedRequest> takeLimitedRequests() {
        if (limitedRequests.isEmpty()) {
            return List.of();
        }
        List<LimitedRequest> taken = List.copyOf(limitedRequests);
        limitedRequests.clear();
        return taken;
    }

    /**
     * Chooses an endpoint.
     *
     * @param candidates endpoints and their costs, at least one
     * @param latest time until which the request waits for a permit
     * @param hasOthers whether the request can wait for the free capacity of another endpoint
     * @return the choice, or null if the permits come too late and there are others
     */
    RouteChoice choose(List<Candidate> candidates, RouteQuery query, long latest, boolean hasOthers, long now) {
        lastSkipped = Skipped.NONE;
        if (permits.isEmpty()) {
            return cheapest(candidates).endpoint().choice();
        }
        for (Candidate candidate : byCost(candidates)) {
            if (permits.isPermitted(candidate.process(), now)) {
                return candidate.endpoint().choice();
            }
            if (permits.isExpected(candidate.process(), now)) {
                return await(candidate, query, now + MAX_PERMIT_MILLIS, now);
            }
            if (lastSkipped.endpoint() == null) {
                lastSkipped = new Skipped(query.requestId(), candidate.id());
            }
        }
        Candidate first = first(candidates, query, now);
        long waitMillis = permits.millisToPermit(first.process(), query.requestId(), now);
        if (waitMillis + PERMIT_DELAY_MILLIS <= latest - now) {
            return await(first, query, latest, now);
        }
        if (hasOthers) {
            return null;
        }
        lastTooLate = new LimitedRequest(query.requestId(), first.id(), LimitedRequest.Action.REJECTED, waitMillis);
        return RouteChoice.unreachable(RouteChoice.Cause.RATE_LIMITED, waitMillis);
    }

    /** Records that the request of the last choice is rejected because the permits come too late. */
    void recordRejection() {
        record(lastTooLate);
    }

    /** Records that the request of the last choice, whose permits come too late, waits for another replica. */
    void recordWait(RouteQuery query) {
        if (heldRequests.add(query.requestId())) {
            record(lastTooLate.held());
        }
    }

    /** Handles the end of a request, which waits for no permit any more. */
    void onRequestEnded(String requestId) {
        heldRequests.remove(requestId);
        permits.forget(requestId);
    }

    /** Uses a permit for a request that is sent to a process. */
    void onAttemptStarted(EndpointProcess process, RouteQuery query, long now) {
        permits.use(process, query.requestId(), now);
        if (lastSkipped.endpoint() != null && lastSkipped.requestId().equals(query.requestId())) {
            record(new LimitedRequest(
                    query.requestId(), lastSkipped.endpoint(), LimitedRequest.Action.SENT_ELSEWHERE, 0));
        }
    }

    private Candidate cheapest(List<Candidate> candidates) {
        Candidate best = candidates.get(0);
        for (Candidate candidate : candidates.subList(1, candidates.size())) {
            if (candidate.cost() < best.cost() || candidate.cost() == best.cost() && random.nextBoolean()) {
                best = candidate;
            }
        }
        return best;
    }

    private List<Candidate> byCost(List<Candidate> candidates) {
        List<Candidate> sorted = new ArrayList<>(candidates);
        Collections.shuffle(sorted, random);
        sorted.sort(Comparator.comparingDouble(Candidate::cost));
        return sorted;
    }

    /** Returns the endpoint that gives the request a permit first. */
    private Candidate first(List<Candidate> candidates, RouteQuery query, long now) {
        Candidate first = candidates.get(0);
        for (Candidate candidate : candidates) {
            long millis = permits.millisToPermit(candidate.process(), query.requestId(), now);
            if (millis < permits.millisToPermit(first.process(), query.requestId(), now)) {
                first = candidate;
            }
        }
        return first;
    }

    private RouteChoice await(Candidate candidate, RouteQuery query, long until, long now) {
        long waitMillis = permits.millisToPermit(candidate.process(), query.requestId(), now);
        permits.await(candidate.process(), query.requestId(), until);
        if (heldRequests.add(query.requestId())) {
            record(new LimitedRequest(query.requestId(), candidate.id(), LimitedRequest.Action.HELD, waitMillis));
        }
        return RouteChoice.WAIT;
    }

    private void record(LimitedRequest limited) {
        if (limitedRequests.size() < MAX_LIMITED_REQUESTS) {
            limitedRequests.add(limited);
        }
    }
}
