package org.gooseberryring.coordination.direct;

/**
 * Resources of an endpoint that the requests of one host use.
 *
 * @param inFlight requests in flight
 * @param unreadTokens prompt tokens that the endpoint has not processed yet
 * @param memoryTokens largest number of tokens that the requests occupy in its memory
 * @param stalled whether the response to one of them is far later than predicted
 */
public record EndpointUse(int inFlight, long unreadTokens, long memoryTokens, boolean stalled) {
    /** Use without any request. */
    public static final EndpointUse NONE = new EndpointUse(0, 0, 0);

    /** Creates the use of an endpoint that is not stalled. */
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

    /** Returns the difference to another use, with each component at least 0. */
    public EndpointUse minus(EndpointUse other) {
        return new EndpointUse(
                Math.max(0, inFlight - other.inFlight),
                Math.max(0, unreadTokens - other.unreadTokens),
                Math.max(0, memoryTokens - other.memoryTokens),
                stalled);
    }

    /** Returns a copy with the given stalled flag. */
    public EndpointUse stalled(boolean now) {
        return new EndpointUse(inFlight, unreadTokens, memoryTokens, now);
    }
}
