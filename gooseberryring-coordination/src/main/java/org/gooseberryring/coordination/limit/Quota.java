package org.gooseberryring.coordination.limit;

/**
 * Part of an organisation's rate and burst that is assigned to one keeper.
 *
 * @param rate tokens per second that count against the organisation's rate until a reduction is confirmed
 * @param burst tokens that count against the organisation's burst until a reduction is confirmed
 * @param targetRate tokens per second that the keeper uses as soon as it has read this quota, at most {@code rate}
 * @param targetBurst burst tokens that the keeper uses as soon as it has read this quota, at most {@code burst}
 * @param full whether the keeper's first bucket starts full, as for a new organisation
 * @param withdrawn whether the keeper is giving up the quota
 */
public record Quota(long rate, long burst, long targetRate, long targetBurst, boolean full, boolean withdrawn) {
    /** Returns an empty quota, which makes its host a keeper of the organisation. */
    public static Quota none() {
        return new Quota(0, 0, 0, 0, false, false);
    }

    /** Returns whether no reduction is waiting for confirmation. */
    public boolean confirmed() {
        return rate == targetRate && burst == targetBurst;
    }

    /** Returns whether this quota uses none of the organisation's rate and burst. */
    public boolean empty() {
        return rate == 0 && burst == 0;
    }

    /** Returns this quota with lower targets. Targets are never raised. */
    Quota lowered(long toRate, long toBurst) {
        return new Quota(rate, burst, Math.min(targetRate, toRate), Math.min(targetBurst, toBurst), full, withdrawn);
    }

    /** Returns this quota with the reduction confirmed. */
    Quota confirm() {
        return new Quota(targetRate, targetBurst, targetRate, targetBurst, full, withdrawn);
    }

    /** Returns this quota increased by the given amounts. */
    Quota raised(long byRate, long byBurst, boolean startsFull) {
        return new Quota(rate + byRate, burst + byBurst, rate + byRate, burst + byBurst, full || startsFull, withdrawn);
    }

    /** Returns this quota with the withdrawn flag set as given. */
    Quota withdraw(boolean newWithdrawn) {
        return new Quota(rate, burst, targetRate, targetBurst, full, newWithdrawn);
    }

    /** Returns this quota for a successor process, whose bucket must not start full. */
    Quota inherited() {
        return new Quota(rate, burst, targetRate, targetBurst, false, withdrawn);
    }
}
