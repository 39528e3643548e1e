package org.gooseberryring.coordination.limit;

/**
 * Use of an organisation's limit by another host: what it has reported, and what is assumed while it is silent.
 *
 * <p>Assumed use has a window of its own, so that it can be dropped together with the times at which it was assumed.
 */
final class HostUse {
    private final long windowMillis;
    private TokenUse reported;
    private long heardAt;
    private RecentTokens recent;
    private UseWindow assumed;
    private long assumedTo;
    private double remainder;
    private long remainderAt;
    private boolean remainderAssumed;
    private boolean removed;

    /** Creates the use of a host that was heard for the first time. */
    HostUse(long windowMillis, TokenUse reported, long now) {
        this.windowMillis = windowMillis;
        this.reported = reported;
        this.recent = RecentTokens.none(now);
        this.heardAt = now;
        this.assumedTo = now;
    }

    /** Returns the last reported use. */
    TokenUse reported() {
        return reported;
    }

    /** Returns the time of the last report. */
    long heardAt() {
        return heardAt;
    }

    /** Returns the reported tokens of the last seconds. */
    double recent(long now) {
        return recent.at(now);
    }

    /** Returns whether the host was removed after a long silence. */
    boolean isRemoved() {
        return removed;
    }

    void remove() {
        removed = true;
    }

    /** Records a report, which replaces what was assumed since the one before. */
    void onReport(TokenUse use, long now) {
        recent = recent.plus(Math.max(0, use.usedTokens() - reported.usedTokens()), now);
        reported = use;
        heardAt = now;
        assumedTo = now;
        removed = false;
        clearAssumed();
    }

    /** Returns the time from which on use must be assumed. */
    long assumedTo(long lastUpdateAt) {
        return Math.max(lastUpdateAt, assumedTo);
    }

    /** Assumes use in the time since the last report or the last assumption. */
    void assume(double tokens, long now) {
        if (assumed == null) {
            assumed = new UseWindow(windowMillis);
        }
        assumed.add(tokens, now);
        assumedTo = now;
    }

    /** Assumes once in each silence that the host has used a part of the tokens that remained. */
    void assumeRemainder(double tokens, long now) {
        if (!remainderAssumed) {
            remainderAssumed = true;
            remainder = tokens;
            remainderAt = now;
        }
    }

    /** Returns the tokens of a remainder that were assumed since a time. */
    double remainderAssumedSince(long from) {
        return remainderAssumed && remainderAt >= from ? remainder : 0;
    }

    void clearAssumed() {
        assumed = null;
        remainder = 0;
        remainderAssumed = false;
    }

    /** Returns the assumed tokens within the window. */
    double assumed(long now) {
        double once = now - remainderAt < windowMillis ? remainder : 0;
        return once + (assumed == null ? 0 : assumed.sum(now));
    }

    /** Returns the assumed tokens that have left the window since a time. */
    double assumedDepartedSince(long from, long now) {
        return assumed == null ? 0 : assumed.departedSince(from, now);
    }

    /** Adds the assumed tokens to a window at the times at which they were assumed. */
    void addAssumedTo(UseWindow window, long now) {
        addAssumedRateTo(window, now);
        window.add(remainder, remainderAt, now);
    }

    /** Adds the tokens that were assumed at a rate to a window. */
    void addAssumedRateTo(UseWindow window, long now) {
        if (assumed != null) {
            window.addAll(assumed, now);
        }
    }
}
