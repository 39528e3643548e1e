package org.gooseberryring.coordination.limit;

/**
 * Decision of the limiter on one request.
 *
 * @param kind kind of the decision
 * @param retryAfterMillis milliseconds after which tokens are expected to be available, 0 unless refused
 */
public record Admission(Kind kind, long retryAfterMillis) {
    /** Kind of decision. */
    public enum Kind {
        /** The tokens are reserved. */
        ADMITTED,
        /** Tokens were requested from a keeper; the decision follows as a {@link LimitEffect.Decided}. */
        PENDING,
        /** The organisation exceeds its rate and burst. */
        REFUSED
    }

    private static final Admission ADMITTED = new Admission(Kind.ADMITTED, 0);
    private static final Admission PENDING = new Admission(Kind.PENDING, 0);

    public static Admission admitted() {
        return ADMITTED;
    }

    public static Admission pending() {
        return PENDING;
    }

    public static Admission refused(long retryAfterMillis) {
        return new Admission(Kind.REFUSED, retryAfterMillis);
    }
}
