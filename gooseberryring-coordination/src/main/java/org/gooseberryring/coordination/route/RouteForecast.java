package org.gooseberryring.coordination.route;

/**
 * Prediction of a router for a request that it sends to an endpoint, and its inputs.
 *
 * @param startMillis milliseconds until the response starts, 0 if it is not predicted
 * @param inFlight requests in flight at the endpoint before this one, including those of other hosts
 * @param unreadTokens prompt tokens that the endpoint must process before the response starts, including those of this
 *     request
 */
public record RouteForecast(long startMillis, int inFlight, long unreadTokens) {
    /** Forecast of a router that predicts nothing. */
    public static final RouteForecast NONE = new RouteForecast(0, 0, 0);
}
