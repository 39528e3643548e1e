package org.gooseberryring.coordination.route;

/**
 * Choice of the router for one request.
 *
 * @param kind what to do with the request
 * @param id endpoint or failure domain to send it to, null if there is none
 * @param availableMillis milliseconds after which an unreachable request can probably be served, 0 if not known
 */
public record RouteChoice(Kind kind, String id, long availableMillis) {
    /** What to do with a request. */
    public enum Kind {
        /** Send it to an endpoint of this failure domain. */
        ENDPOINT,
        /** Send it to a host of another failure domain. */
        RELAY,
        /** Keep it waiting; an endpoint can serve it but none has room. */
        WAIT,
        /** Refuse it; no endpoint can serve it now. */
        UNREACHABLE
    }

    public static final RouteChoice WAIT = new RouteChoice(Kind.WAIT, null);
    public static final RouteChoice UNREACHABLE = new RouteChoice(Kind.UNREACHABLE, null);

    public RouteChoice(Kind kind, String id) {
        this(kind, id, 0);
    }

    /** Returns the choice for a request that can probably be served after the given time. */
    public static RouteChoice unreachableFor(long millis) {
        return new RouteChoice(Kind.UNREACHABLE, null, millis);
    }
}
