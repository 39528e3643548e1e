package org.gooseberryring.coordination.route;

/**
 * Limit on concurrent requests to an endpoint that may be cold.
 *
 * <p>It begins at 1 and doubles after each window of as many successes as the limit, up to the endpoint's capacity.
 */
public final class SlowStart {
    /** A first token this many times slower than usual is taken as the sign of a cold endpoint. */
    private static final long SUDDEN_RISE_FACTOR = 8;

    /** Rises below this are ordinary queueing; the target for the 95th percentile is 1,500 ms. */
    private static final long SMALLEST_RISE_MILLIS = 3_000;

    /** One slow answer may be a long prompt, so several in a row are needed. */
    private static final int SLOW_ANSWERS_FOR_COLD = 3;

    private static final int AVERAGE_WEIGHT = 8;

    private int capacity;
    private int limit = 1;
    private int successes;
    private int slowAnswers;
    private long averageFirstTokenMillis = -1;

    public SlowStart(int capacity) {
        this.capacity = Math.max(1, capacity);
    }

    /** Returns how many requests may run at once now. */
    public int limit() {
        return limit;
    }

    /** Changes the number of requests that the warm endpoint can run at once. */
    public void capacity(int newCapacity) {
        capacity = Math.max(1, newCapacity);
        limit = Math.min(limit, capacity);
    }

    /** Starts at the full capacity, for an endpoint that is known to be in use. */
    public void warm() {
        limit = capacity;
    }

    /** Returns to one concurrent request, after a restart or a lost connection. */
    public void restart() {
        limit = 1;
        successes = 0;
        slowAnswers = 0;
        averageFirstTokenMillis = -1;
    }

    /**
     * Counts a complete answer.
     *
     * @param firstTokenMillis time from dispatch to the first byte, -1 if unknown
     */
    public void onAttemptSucceeded(long firstTokenMillis) {
        if (firstTokenMillis >= 0 && isSuddenRise(firstTokenMillis)) {
            slowAnswers++;
            if (slowAnswers >= SLOW_ANSWERS_FOR_COLD) {
                restart();
            }
            return;
        }
        slowAnswers = 0;
        average(firstTokenMillis);
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
                && millis >= SMALLEST_RISE_MILLIS
                && millis > SUDDEN_RISE_FACTOR * averageFirstTokenMillis;
    }

    private void average(long millis) {
        if (millis < 0) {
            return;
        }
        averageFirstTokenMillis = averageFirstTokenMillis < 0
                ? millis
                : averageFirstTokenMillis + (millis - averageFirstTokenMillis) / AVERAGE_WEIGHT;
    }
}
