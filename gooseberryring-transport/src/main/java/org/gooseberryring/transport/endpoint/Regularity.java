package org.gooseberryring.transport.endpoint;

/** Counts how often something recent was regular. Not thread-safe. */
final class Regularity {
    private static final int MIN_SEEN = 32;

    /** Number of observations after which the earlier ones count half. */
    private static final int MAX_SEEN = 1_024;

    /** At most one of so many observations may be an exception; the faults of some endpoints are below that. */
    private static final int SEEN_FOR_EACH_EXCEPTION = 10;

    private int seen;
    private int exceptions;

    void add(int regular, int irregular) {
        seen += regular + irregular;
        exceptions += irregular;
        while (seen > MAX_SEEN) {
            seen /= 2;
            exceptions /= 2;
        }
    }

    /** Returns whether nearly all of enough observations were regular. */
    boolean isKnown() {
        return seen >= MIN_SEEN && exceptions * SEEN_FOR_EACH_EXCEPTION <= seen;
    }

    boolean isEmpty() {
        return seen == 0;
    }

    /** Returns whether most observations were exceptions. */
    boolean isRefuted() {
        return exceptions * 2 > seen;
    }
}
