package org.gooseberryring.coordination.route;

/** What the home of an endpoint has to assume that one process may use. */
final class HolderAllocation {
    private int credits;
    private long sequence = -1;
    private CreditMessage.Grant lastGrant;
    private long freeAt;
    private boolean wantsMore;

    HolderAllocation(int credits, long freeAt) {
        this.credits = credits;
        this.freeAt = freeAt;
    }

    int credits() {
        return credits;
    }

    void credits(int newCredits) {
        credits = newCredits;
    }

    long freeAt() {
        return freeAt;
    }

    /** Sets the time at which the last request that the credits may have started has certainly ended. */
    void freeAt(long time) {
        freeAt = time;
    }

    boolean wantsMore() {
        return wantsMore;
    }

    CreditMessage.Grant lastGrant() {
        return lastGrant;
    }

    long sequence() {
        return sequence;
    }

    void answered(CreditMessage.Grant grant, boolean unmet) {
        sequence = grant.sequence();
        lastGrant = grant;
        wantsMore = unmet;
    }
}
