package org.gooseberryring.coordination.route;

/** Chooses the endpoint of each request and tracks the attempts at endpoints. */
public interface EndpointRouter {
    /** Chooses where to send a request, without starting it. */
    RouteChoice choose(RouteQuery query, long now);

    /** Returns the host that passes requests on to an endpoint, null if this host reaches the endpoint itself. */
    default String via(String endpoint, long now) {
        return null;
    }

    /**
     * Records a request that is sent to an endpoint; returns its forecast.
     *
     * @param via host that passes the request on, null if this host sends it itself
     */
    default RouteForecast onAttemptStarted(String endpoint, String via, RouteQuery query, long now) {
        return onAttemptStarted(endpoint, query, now);
    }

    /** Records a request that this host itself sends to an endpoint; returns its forecast. */
    RouteForecast onAttemptStarted(String endpoint, RouteQuery query, long now);

    /** Records that the first byte of a response arrived. */
    default void onFirstByte(String endpoint, RouteQuery query, long now) {}

    /** Records the end of a request at an endpoint, regardless of its outcome. */
    void onAttemptEnded(String endpoint, RouteQuery query, long now);

    /**
     * Records a complete response.
     *
     * @param firstTokenMillis milliseconds from dispatch to the first byte of the response, -1 if unknown
     */
    void onAttemptSucceeded(String endpoint, long firstTokenMillis, long now);

    /** Records a failed attempt at an endpoint that is still reachable. */
    void onAttemptFailed(String endpoint, long now);

    /** Records an attempt that ended before its response was complete, at an endpoint that may still run it. */
    default void onAttemptAbandoned(String endpoint, long now) {}

    /** Returns the number of losses of an endpoint so far; callers store it with each request sent to the endpoint. */
    long lossEpoch(String endpoint);

    /** Returns the software version of an endpoint, empty if it is not known. */
    default String softwareVersion(String endpoint) {
        return "";
    }

    /** Returns whether the response to a request is far later than predicted. */
    default boolean isStalled(String endpoint, RouteQuery query, long now) {
        return false;
    }

    /**
     * Excludes an endpoint whose connection broke.
     *
     * @param endpoint endpoint that was lost
     * @param epochAtDispatch loss epoch when the request that saw the loss was sent; the loss is ignored if the epoch
     *     has changed since
     * @param now monotonic time in milliseconds
     */
    void onEndpointLost(String endpoint, long epochAtDispatch, long now);

    /** Records the end of a request that may have waited for an endpoint, regardless of its outcome. */
    default void onRequestEnded(String requestId) {}

    /** Processes timers; returns whether an endpoint has become available for a retry. */
    boolean tick(long now);
}
