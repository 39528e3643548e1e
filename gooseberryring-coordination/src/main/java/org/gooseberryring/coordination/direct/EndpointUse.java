package org.gooseberryring.coordination.direct;

/**
 * What the requests of one host take of an endpoint.
 *
 * @param inFlight requests that were sent and have not ended
 * @param unreadTokens prompt tokens that the endpoint has still to read for them
 * @param memoryTokens tokens that they take in its memory at most
 * @param stalled whether one of them has had no answer for far longer than predicted
 */
public record EndpointUse(int inFlight, long unreadTokens, long memoryTokens, boolean stalled) {
    /** Use of an endpoint that serves nothing. */
    public static final EndpointUse NONE = new EndpointUse(0, 0, 0);

    /** Creates the use of an endpoint that answers in time. */
    public EndpointUse(int inFlight, long unreadTokens, long memoryTokens) {
        this(inFlight, unreadTokens, memoryTokens, false);
    }

    /** Returns the sum of two uses. */
    public EndpointUse plus(EndpointUse other) {
        return new EndpointUse(
                inFlight + other.inFlight,
                unreadTokens + other.unreadTokens,
                memoryTokens + other.memoryTokens,
                stalled || other.stalled);
    }

    /** Returns this use without another one, none of its parts below zero. */
    public EndpointUse minus(EndpointUse other) {
        return new EndpointUse(
                Math.max(0, inFlight - other.inFlight),
                Math.max(0, unreadTokens - other.unreadTokens),
                Math.max(0, memoryTokens - other.memoryTokens),
                stalled);
    }

    /** Returns this use with another judgement on its answers. */
    public EndpointUse stalled(boolean now) {
        return new EndpointUse(inFlight, unreadTokens, memoryTokens, now);
    }
}
