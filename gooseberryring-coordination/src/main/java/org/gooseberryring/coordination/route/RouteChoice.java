package org.gooseberryring.coordination.route;

/**
 * Choice of the router for one request.
 *
 * @param kind what to do with the request
 * @param id endpoint or failure domain to send it to, null if there is none
 */
public record RouteChoice(Kind kind, String id) {
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
}
