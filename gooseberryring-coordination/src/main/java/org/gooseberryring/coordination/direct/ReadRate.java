package org.gooseberryring.coordination.direct;

/**
 * Measures how fast an endpoint processes prompts, from the times to first token observed on this host.
 *
 * <p>A host sends few requests to each endpoint. Until an endpoint has been measured, the rate of its service is used.
 */
final class ReadRate {
    private static final double START_TOKENS_PER_MILLI = 36;
    private static final double MIN_TOKENS_PER_MILLI = 2;
    private static final double MAX_TOKENS_PER_MILLI = 80;

    /** Weight of the newest measurement. */
    private static final double NEWEST_WEIGHT = 0.15;

    /** Part of the time to first token that does not depend on the prompt. */
    private static final long BASE_MILLIS = 20;

    /** Prompts with fewer tokens are too short to measure the rate. */
    private static final long MIN_TOKENS = 800;

    private final ReadRate typical;
    private double tokensPerMilli;

    /** Creates the rate of a service whose endpoints have not been measured. */
    ReadRate() {
        this.typical = null;
        this.tokensPerMilli = START_TOKENS_PER_MILLI;
    }

    /** Creates the rate of an endpoint; {@code typical} is that of its service. */
    ReadRate(ReadRate typical) {
        this.typical = typical;
    }

    /** Adds a sample: the tokens that had to be processed and the milliseconds until the first token. */
    void addSample(long tokens, long millis) {
        if (tokens >= MIN_TOKENS && millis > BASE_MILLIS) {
            double sample = (double) tokens / (millis - BASE_MILLIS);
            double bounded = Math.max(MIN_TOKENS_PER_MILLI, Math.min(MAX_TOKENS_PER_MILLI, sample));
            tokensPerMilli = rate() + NEWEST_WEIGHT * (bounded - rate());
            if (typical != null) {
                typical.addSample(tokens, millis);
            }
        }
    }

    /**
     * Returns the predicted milliseconds until a request starts; {@code tokens} includes its own prompt and those ahead
     * of it.
     */
    long millisToRead(long tokens) {
        return BASE_MILLIS + (long) (tokens / rate());
    }

    private double rate() {
        return tokensPerMilli > 0 || typical == null ? tokensPerMilli : typical.rate();
    }
}
