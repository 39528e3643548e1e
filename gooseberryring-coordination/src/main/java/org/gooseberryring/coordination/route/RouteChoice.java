package org.gooseberryring.coordination.route;

/**
 * Choice of the router for one request.
 *
 * @param kind action for the request
 * @param id endpoint or failure domain to send it to, null if there is none
 * @param cause reason why a request cannot be served
 * @param availableMillis milliseconds after which an unreachable request can probably be served, 0 if not known
 */
public record RouteChoice(Kind kind, String id, Cause cause, long availableMillis) {
    /** What to do with a request. */
    public enum Kind {
        /** Send it to an endpoint of this failure domain. */
        ENDPOINT,
        /** Send it to a host of another failure domain. */
        RELAY,
        /** Let it wait; an endpoint can serve it but none has free capacity. */
        WAIT,
        /** Reject it; no endpoint can serve it now. */
        UNREACHABLE
    }

    /** Why a request cannot be served now. */
    public enum Cause {
        /** Not known, or the request can be served. */
        NONE,
        /** No endpoint has loaded the model or adapter, and it cannot be loaded in time. */
        NOT_HELD,
        /** The endpoints that have loaded the model or adapter would start the request too late. */
        BUSY,
        /** The endpoints that have loaded the model or adapter are in back-off for this host. */
        BACK_OFF,
        /** The rate limits of the endpoints that have loaded the model or adapter would start the request too late. */
        RATE_LIMITED,
        /** No endpoint of the software version that began the stream has loaded the model or adapter. */
        NO_VERSION,
        /** This host reaches none of the endpoints that have loaded the model or adapter, nor a host that does. */
        NO_PATH
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
