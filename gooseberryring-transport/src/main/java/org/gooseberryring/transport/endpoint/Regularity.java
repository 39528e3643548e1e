package org.gooseberryring.transport.endpoint;

/** Counts how often something recent was regular. Not thread-safe. */
final class Regularity {
    private static final int MIN_SEEN = 32;

    /** Number of observations after which the earlier ones count half. */
    private static final int MAX_SEEN = 1_024;

    /** Largest share of exceptions, which the faults of some endpoints do not exceed. */
    private static final double MAX_EXCEPTIONS = 0.1;

    private double seen;
    private double exceptions;

    void add(boolean isRegular) {
        seen++;
        exceptions += isRegular ? 0 : 1;
        if (seen > MAX_SEEN) {
            seen /= 2;
            exceptions /= 2;
        }
    }

    boolean isEmpty() {
        return seen == 0;
    }

    /** Returns whether nearly all of enough observations were regular. */
    boolean isKnown() {
        return seen >= MIN_SEEN && exceptions <= seen * MAX_EXCEPTIONS;
    }

    boolean isMostlyExceptions() {
        return exceptions * 2 > seen;
    }
}
