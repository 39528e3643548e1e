package org.gooseberryring.coordination.route;

/** Credits of an endpoint that its coordinator must assume one process may use. */
final class HolderAllocation {
    private int credits;
    private long sequence = -1;
    private CreditMessage.Grant lastGrant;
    private long expiresAt;
    private boolean needsMore;

    HolderAllocation(int credits, long expiresAt) {
        this.credits = credits;
        this.expiresAt = expiresAt;
    }

    int credits() {
        return credits;
    }

    void credits(int newCredits) {
        credits = newCredits;
    }

    long expiresAt() {
        return expiresAt;
    }

    /** Sets the time by which every request started under these credits has ended. */
    void expiresAt(long time) {
        expiresAt = time;
    }

    boolean needsMore() {
        return needsMore;
    }

    CreditMessage.Grant lastGrant() {
        return lastGrant;
    }

    long sequence() {
        return sequence;
    }

    void recordGrant(CreditMessage.Grant grant, boolean unmet) {
        sequence = grant.sequence();
        lastGrant = grant;
        needsMore = unmet;
    }
}
