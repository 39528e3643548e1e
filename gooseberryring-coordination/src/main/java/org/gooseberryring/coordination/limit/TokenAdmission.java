package org.gooseberryring.coordination.limit;

/** Admits requests of organisations within their token rate and burst. */
public interface TokenAdmission {
    /**
     * Reserves tokens for a request.
     *
     * @param requestId identifier of the request, unique on this host
     * @param organisation organisation that pays
     * @param tokens prompt tokens plus the maximum number of output tokens
     * @param now monotonic time in milliseconds
     */
    Admission reserve(String requestId, String organisation, long tokens, long now);

    /**
     * Ends a reservation and returns the unused tokens.
     *
     * @param requestId identifier of the request
     * @param usedTokens tokens used, 0 if the request did not run
     * @param now monotonic time in milliseconds
     */
    void settle(String requestId, long usedTokens, long now);
}
