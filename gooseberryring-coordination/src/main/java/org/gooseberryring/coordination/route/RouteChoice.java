package org.gooseberryring.coordination.route;

/**
 * Choice of the router for one request.
 *
 * @param kind what to do with the request
 * @param id endpoint or failure domain to send it to, null if there is none
 * @param cause why a request is unreachable
 * @param availableMillis milliseconds after which an unreachable request can probably be served, 0 if not known
 */
public record RouteChoice(Kind kind, String id, Cause cause, long availableMillis) {
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

    /** Why a request cannot be served now. */
    public enum Cause {
        /** Not known, or the request can be served. */
        NONE,
        /** No endpoint holds what it needs, and that cannot be loaded in time. */
        NOT_HELD,
        /** The endpoints that hold what it needs would start it too late. */
        BUSY,
        /** The endpoints that hold what it needs want no request of this host for some time. */
        BACK_OFF
    }

    public static final RouteChoice WAIT = new RouteChoice(Kind.WAIT, null);
    public static final RouteChoice UNREACHABLE = new RouteChoice(Kind.UNREACHABLE, null);

    public RouteChoice(Kind kind, String id) {
        this(kind, id, Cause.NONE, 0);
    }

    /** Returns the choice for a request that can probably be served after the given time. */
    public static RouteChoice unreachable(Cause cause, long millis) {
        return new RouteChoice(Kind.UNREACHABLE, null, cause, millis);
    }
}
