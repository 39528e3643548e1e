package org.gooseberryring.coordination.route;

/** Chooses the endpoint of each request and follows what becomes of it there. */
public interface EndpointRouter {
    /** Chooses where to send a request; it starts nothing. */
    RouteChoice choose(RouteQuery query, long now);

    /** Counts a request that is sent to an endpoint; returns what is expected of it. */
    RouteForecast onAttemptStarted(String endpoint, RouteQuery query, long now);

    /** Notes that the first byte of an answer arrived. */
    default void onFirstByte(String endpoint, RouteQuery query, long now) {}

    /** Counts a request that ended at an endpoint, however it ended. */
    void onAttemptEnded(String endpoint, RouteQuery query, long now);

    /**
     * Counts a complete answer.
     *
     * @param firstTokenMillis milliseconds from dispatch to the first byte of the answer, -1 if unknown
     */
    void onAttemptSucceeded(String endpoint, long firstTokenMillis, long now);

    /** Counts an attempt that failed though the endpoint lives. */
    void onAttemptFailed(String endpoint, long now);

    /** Returns the number of losses of an endpoint so far, to be kept with each request sent to it. */
    long lossEpoch(String endpoint);

    /** Returns whether a request has had no answer from its endpoint for far longer than predicted. */
    default boolean isStalled(String endpoint, RouteQuery query, long now) {
        return false;
    }

    /**
     * Takes an endpoint out because its connection broke.
     *
     * @param endpoint endpoint that was lost
     * @param epochAtDispatch loss epoch when the request that saw the loss was sent; the loss is ignored if it is known
     * @param now monotonic time in milliseconds
     */
    void onEndpointLost(String endpoint, long epochAtDispatch, long now);

    /** Lets time pass; returns whether an endpoint may be tried again. */
    boolean tick(long now);
}
