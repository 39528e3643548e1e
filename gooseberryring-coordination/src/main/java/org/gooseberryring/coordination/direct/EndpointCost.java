package org.gooseberryring.coordination.direct;

import org.gooseberryring.coordination.route.RouteQuery;

/** Cost of sending a request to an endpoint, in prompt tokens. */
final class EndpointCost {
    /**
     * Cost in tokens of another failure domain, because transferring a body there takes longer than within the domain.
     */
    private static final double OTHER_DOMAIN_TOKENS = 60;

    /** Cost in tokens of an endpoint with all slots in use, since running requests share each step of the engine. */
    private static final double FULL_SLOTS_TOKENS = 4_000;

    /** Cost in tokens of an endpoint that fails all its requests. */
    private static final double FAILING_TOKENS = 50_000;

    /** Cost in tokens of an endpoint at which an attempt of the same request has failed. */
    private static final double FAILED_BEFORE_TOKENS = 200_000;

    private final String failureDomain;

    /** Creates the cost for a host in the given failure domain. */
    EndpointCost(String failureDomain) {
        this.failureDomain = failureDomain;
    }

    double of(DirectEndpoint endpoint, RouteQuery query) {
        double cost = endpoint.tokensAhead(query) + FULL_SLOTS_TOKENS * endpoint.utilisation();
        cost += FAILING_TOKENS * endpoint.health().failureShare();
        if (!endpoint.registration().failureDomain().equals(failureDomain)) {
            cost += OTHER_DOMAIN_TOKENS;
        }
        return query.failedAt().contains(endpoint.registration().id()) ? cost + FAILED_BEFORE_TOKENS : cost;
    }
}
