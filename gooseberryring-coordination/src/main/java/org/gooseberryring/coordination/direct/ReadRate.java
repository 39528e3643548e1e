package org.gooseberryring.coordination.direct;

/** Measures how fast an endpoint reads prompts, from the times to first tokens that this host sees. */
final class ReadRate {
    private static final double START_TOKENS_PER_MILLI = 25;
    private static final double MIN_TOKENS_PER_MILLI = 2;
    private static final double MAX_TOKENS_PER_MILLI = 80;

    /** Weight of the newest measurement. */
    private static final double NEWEST_WEIGHT = 0.15;

    /** Time to a first token that does not depend on the prompt. */
    private static final long BASE_MILLIS = 20;

    /** Fewer tokens than this say nothing about the rate. */
    private static final long MIN_TOKENS = 800;

    private double tokensPerMilli = START_TOKENS_PER_MILLI;

    /** Takes a measurement: tokens that had to be read and the milliseconds until the first token. */
    void measured(long tokens, long millis) {
        if (tokens >= MIN_TOKENS && millis > BASE_MILLIS) {
            double sample = (double) tokens / (millis - BASE_MILLIS);
            double bounded = Math.max(MIN_TOKENS_PER_MILLI, Math.min(MAX_TOKENS_PER_MILLI, sample));
            tokensPerMilli += NEWEST_WEIGHT * (bounded - tokensPerMilli);
        }
    }

    /** Returns the milliseconds until a request starts that has the given tokens before it and of its own. */
    long millisToRead(long tokens) {
        return BASE_MILLIS + (long) (tokens / tokensPerMilli);
    }
}
