package org.gooseberryring.coordination.route;

/**
 * What a router expects of a request that it sends to an endpoint, and what decided it.
 *
 * @param startMillis milliseconds until its answer starts, 0 if it is not predicted
 * @param inFlight requests at the endpoint before it, those of other hosts included
 * @param unreadTokens prompt tokens that the endpoint must read before its answer starts, its own included
 */
public record RouteForecast(long startMillis, int inFlight, long unreadTokens) {
    /** Forecast of a router that predicts nothing. */
    public static final RouteForecast NONE = new RouteForecast(0, 0, 0);
}
