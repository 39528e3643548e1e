package org.gooseberryring.coordination.limit;

import java.util.Arrays;
import java.util.List;

/**
 * Tokens that were admitted within a sliding time window.
 *
 * <p>Tokens are counted in short intervals. The oldest interval counts in full, so that the usage in a window is never
 * underestimated.
 */
final class UseWindow {
    private static final int INTERVALS = 64;

    /** Intervals for which tokens are kept after they have left the window. */
    private static final int PAST_INTERVALS = 64;

    private static final int SLOTS = INTERVALS + 1 + PAST_INTERVALS;

    private final double[] tokens = new double[SLOTS];
    private final long intervalMillis;
    private double sum;
    private long interval = Long.MIN_VALUE;

    /** Creates an empty window of the given length in milliseconds. */
    UseWindow(long windowMillis) {
        this.intervalMillis = Math.max(1, windowMillis / INTERVALS);
    }

    /** Adds tokens to the current interval. */
    void add(double amount, long now) {
        add(amount, now, now);
    }

    /**
     * Adds tokens to the interval of a time that is not later than now. A negative amount subtracts tokens that were
     * counted in that interval or later; elsewhere it would remain in the window for longer than what it subtracts.
     */
    void add(double amount, long at, long now) {
        advance(now);
        addToInterval(amount, Math.floorDiv(at, intervalMillis));
    }

    /** Adds the tokens of another window of the same length in their intervals. */
    void addAll(UseWindow other, long now) {
        advance(now);
        other.advance(now);
        for (long each = interval - INTERVALS; each <= interval; each++) {
            addToInterval(other.tokens[index(each)], each);
        }
    }

    /** Returns the sum of the tokens within the window. */
    double sum(long now) {
        advance(now);
        return sum;
    }

    /** Returns the tokens that were added since a time and are still within the window. */
    double sumSince(long from, long now) {
        advance(now);
        double added = 0;
        long first = Math.max(Math.floorDiv(from, intervalMillis), interval - INTERVALS);
        for (long each = first; each <= interval; each++) {
            added += tokens[index(each)];
        }
        return added;
    }

    /**
     * Returns the milliseconds until more than the given amount has left the window, or its full length if it contains
     * less.
     */
    long millisUntilLeft(double amount, long now) {
        advance(now);
        double departed = 0;
        for (int i = 1; i <= INTERVALS; i++) {
            departed += tokens[index(interval - INTERVALS - 1 + i)];
            if (departed > amount) {
                return (interval + i) * intervalMillis - now;
            }
        }
        return INTERVALS * intervalMillis;
    }

    /** Returns the tokens within the window by their age, in equal parts of the window, the newest first. */
    List<Long> byAge(int parts, long now) {
        advance(now);
        double[] sums = new double[parts];
        for (int age = 0; age <= INTERVALS; age++) {
            sums[Math.min(parts - 1, age * parts / INTERVALS)] += tokens[index(interval - age)];
        }
        return Arrays.stream(sums).mapToObj(Math::round).toList();
    }

    /** Returns the tokens that have left the window since a time, at most one window ago. */
    double departedSince(long from, long now) {
        advance(now);
        long first = Math.max(Math.floorDiv(from, intervalMillis), interval - PAST_INTERVALS);
        double departed = 0;
        for (long each = first; each < interval; each++) {
            departed += tokens[index(each - INTERVALS)];
        }
        return departed;
    }

    /**
     * Returns by how many tokens, in the period up to now in which this is most, more was added than a rate allows.
     *
     * @param perMilli rate in tokens per millisecond
     */
    double largestExcess(double perMilli, long now) {
        advance(now);
        double largest = 0;
        double added = 0;
        for (int age = 0; age <= INTERVALS; age++) {
            added += tokens[index(interval - age)];
            largest = Math.max(largest, added - perMilli * age * intervalMillis);
        }
        return largest;
    }

    /** Clears the window. */
    void clear() {
        Arrays.fill(tokens, 0);
        sum = 0;
    }

    private void addToInterval(double amount, long of) {
        if (of >= interval - INTERVALS) {
            tokens[index(of)] += amount;
            sum += amount;
        }
    }

    private void advance(long now) {
        long current = Math.floorDiv(now, intervalMillis);
        if (interval == Long.MIN_VALUE || current - interval >= SLOTS) {
            clear();
            interval = current;
        }
        while (interval < current) {
            interval++;
            sum -= tokens[index(interval - INTERVALS - 1)];
            tokens[index(interval)] = 0;
        }
    }

    private static int index(long ofInterval) {
        return Math.floorMod(ofInterval, SLOTS);
    }
}
