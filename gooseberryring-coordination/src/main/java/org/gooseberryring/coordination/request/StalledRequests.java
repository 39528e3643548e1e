package org.gooseberryring.coordination.request;

import org.gooseberryring.coordination.route.EndpointRouter;
import org.gooseberryring.coordination.route.RouteChoice;

/** Decides which requests leave an endpoint that does not answer them. */
final class StalledRequests {
    private final EndpointRouter router;

    StalledRequests(EndpointRouter router) {
        this.router = router;
    }

    /** Returns whether a repeatable request is stalled at its endpoint while another one has free capacity. */
    boolean shouldMove(RequestState state, long now) {
        RequestSpec spec = state.spec();
        boolean waits = !state.isCompleted() && !state.hasAnyResponseStarted() && state.endpoint() != null;
        boolean repeats =
                spec.idempotent() && state.sends() + 1 < spec.handling().maxSends();
        return waits
                && repeats
                && router.isStalled(state.endpoint(), state.query(), now)
                && router.choose(state.query(), now).kind() == RouteChoice.Kind.ENDPOINT;
    }
}
