package org.gooseberryring.coordination.limit;

import java.util.List;

/**
 * Tokens that a host has admitted for an organisation since the start of its process.
 *
 * @param usedTokens admitted tokens less those that were returned
 * @param returnedTokens tokens that were returned because their requests did not run, by the time between admission and
 *     return in sixteenths of the window of the limits; empty if none were returned
 */
public record TokenUse(long usedTokens, List<Long> returnedTokens) {
    /** Number of parts into which the window is divided for returned tokens. */
    static final int RETURN_CLASSES = 16;

    public TokenUse {
        returnedTokens = List.copyOf(returnedTokens);
    }

    /** Returns a use of which nothing was returned. */
    public static TokenUse of(long usedTokens) {
        return new TokenUse(usedTokens, List.of());
    }

    /** Returns the admitted tokens, including those that were returned. */
    long admittedTokens() {
        return usedTokens + returnedTokens.stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the tokens that were returned in a class of times. */
    long returnedTokens(int ageClass) {
        return ageClass < returnedTokens.size() ? returnedTokens.get(ageClass) : 0;
    }
}
