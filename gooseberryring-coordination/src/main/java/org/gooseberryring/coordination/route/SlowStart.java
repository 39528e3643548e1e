package org.gooseberryring.coordination.route;

/**
 * Limit on concurrent requests to an endpoint that may be cold.
 *
 * <p>It begins at 1 and doubles after each window of as many successes as the limit, up to the endpoint's capacity.
 */
public final class SlowStart {
    /** A time to first token this many times above the average indicates a cold endpoint. */
    private static final long SUDDEN_RISE_FACTOR = 8;

    /** Times below this are normal queueing; the target for the 95th percentile is 1,500 ms. */
    private static final long MIN_SUDDEN_RISE_MILLIS = 3_000;

    /** A single slow response may be due to a long prompt, so several in a row are required. */
    private static final int SLOW_RESPONSES_FOR_COLD = 3;

    private static final int AVERAGE_WEIGHT = 8;

    private int capacity;
    private int limit = 1;
    private int successes;
    private int slowResponses;
    private long averageFirstTokenMillis = -1;

    public SlowStart(int capacity) {
        this.capacity = Math.max(1, capacity);
    }

    /** Returns the current limit on concurrent requests. */
    public int limit() {
        return limit;
    }

    /** Sets the number of requests that the warm endpoint can run at once. */
    public void capacity(int newCapacity) {
        capacity = Math.max(1, newCapacity);
        limit = Math.min(limit, capacity);
    }

    /** Starts at the full capacity, for an endpoint that is known to be in use. */
    public void skipToCapacity() {
        limit = capacity;
    }

    /** Returns to one concurrent request, after a restart or a lost connection. */
    public void restart() {
        limit = 1;
        successes = 0;
        slowResponses = 0;
        averageFirstTokenMillis = -1;
    }

    /**
     * Counts a complete response.
     *
     * @param firstTokenMillis time from dispatch to the first byte, -1 if unknown
     */
    public void onAttemptSucceeded(long firstTokenMillis) {
        if (firstTokenMillis >= 0 && isSuddenRise(firstTokenMillis)) {
            slowResponses++;
            if (slowResponses >= SLOW_RESPONSES_FOR_COLD) {
                restart();
            }
            return;
        }
        slowResponses = 0;
        updateAverage(firstTokenMillis);
        successes++;
        if (successes >= limit) {
            successes = 0;
            limit = Math.min(capacity, limit * 2);
        }
    }

    /** Counts an attempt that failed without the loss of the endpoint; the window starts again. */
    public void onAttemptFailed() {
        successes = 0;
    }

    private boolean isSuddenRise(long millis) {
        return averageFirstTokenMillis >= 0
                && millis >= MIN_SUDDEN_RISE_MILLIS
                && millis > SUDDEN_RISE_FACTOR * averageFirstTokenMillis;
    }

    private void updateAverage(long millis) {
        if (millis < 0) {
            return;
        }
        averageFirstTokenMillis = averageFirstTokenMillis < 0
                ? millis
                : averageFirstTokenMillis + (millis - averageFirstTokenMillis) / AVERAGE_WEIGHT;
    }
}
