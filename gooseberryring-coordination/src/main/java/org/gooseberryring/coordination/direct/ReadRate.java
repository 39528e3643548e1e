package org.gooseberryring.coordination.direct;

/**
 * Measures how fast an endpoint reads prompts, from the times to first tokens that this host sees.
 *
 * <p>A host sees few requests of each endpoint. Until it has seen one, an endpoint is taken to be like the others of its
 * service.
 */
final class ReadRate {
    private static final double START_TOKENS_PER_MILLI = 36;
    private static final double MIN_TOKENS_PER_MILLI = 2;
    private static final double MAX_TOKENS_PER_MILLI = 80;

    /** Weight of the newest measurement. */
    private static final double NEWEST_WEIGHT = 0.15;

    /** Time to a first token that does not depend on the prompt. */
    private static final long BASE_MILLIS = 20;

    /** Fewer tokens than this say nothing about the rate. */
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

    /** Takes a measurement: tokens that had to be read and the milliseconds until the first token. */
    void measured(long tokens, long millis) {
        if (tokens >= MIN_TOKENS && millis > BASE_MILLIS) {
            double sample = (double) tokens / (millis - BASE_MILLIS);
            double bounded = Math.max(MIN_TOKENS_PER_MILLI, Math.min(MAX_TOKENS_PER_MILLI, sample));
            tokensPerMilli = rate() + NEWEST_WEIGHT * (bounded - rate());
            if (typical != null) {
                typical.measured(tokens, millis);
            }
        }
    }

    /** Returns the milliseconds until a request starts that has the given tokens before it and of its own. */
    long millisToRead(long tokens) {
        return BASE_MILLIS + (long) (tokens / rate());
    }

    private double rate() {
        return tokensPerMilli > 0 || typical == null ? tokensPerMilli : typical.rate();
    }
}
