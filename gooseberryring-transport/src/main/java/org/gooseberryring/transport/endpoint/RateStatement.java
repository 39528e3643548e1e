package org.gooseberryring.transport.endpoint;

/**
 * What the head of a response states about the rate limit of its endpoint.
 *
 * @param kind kind of the statement
 * @param requestsPerSecond requests per second that the endpoint takes from all hosts together; only meaningful if a
 *     limit is stated
 */
public record RateStatement(Kind kind, double requestsPerSecond) {
    /** States nothing, so that an earlier statement stays valid. */
    public static final RateStatement UNKNOWN = new RateStatement(Kind.UNKNOWN, 0);

    /** States that there is no limit. */
    public static final RateStatement UNLIMITED = new RateStatement(Kind.UNLIMITED, 0);

    /** Kind of statement. */
    public enum Kind {
        UNKNOWN,
        UNLIMITED,
        LIMITED
    }

    /** Returns the statement of a limit. */
    public static RateStatement limited(double requestsPerSecond) {
        return new RateStatement(Kind.LIMITED, requestsPerSecond);
    }
}
