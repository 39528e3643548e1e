package org.gooseberryring.coordination.route;

/** Credits of this host for one endpoint, granted by its coordinator. */
final class HeldCredits implements EndpointCredits {
    /** Time after which a request without a grant is sent again; a round trip in a failure domain takes about 1 ms. */
    private static final long RESEND_MILLIS = 50;

    /** Minimum time before repeating a request whose grant gave too few credits. */
    private static final long UNMET_REQUEST_INTERVAL_MILLIS = 5;

    /** Credits unused for this long are returned with the next renewal. */
    private static final long IDLE_MILLIS = 4_000;

    private static final int RENEWALS_PER_LEASE = 3;

    private final String endpoint;
    private HolderId home;
    private long term;
    private long sequence;
    private int limit;
    private int inUse;
    private long leaseEnd = Long.MIN_VALUE;
    private long sentAt = Long.MIN_VALUE / 2;
    private long leaseMillis;
    private boolean wanted;
    private boolean outstanding;
    private int statedCredits;
    private boolean confirmLower;
    private int peak;
    private long peakAt;
    private int succeeded;
    private boolean endpointLost;

    HeldCredits(String endpoint) {
        this.endpoint = endpoint;
    }

    @Override
    public boolean available(long now) {
        return inUse < limit && now < leaseEnd;
    }

    @Override
    public void acquire(long now) {
        inUse++;
        if (inUse >= peak) {
            peak = inUse;
            peakAt = now;
        }
    }

    @Override
    public void release(long now) {
        inUse = Math.max(0, inUse - 1);
        confirmLower |= inUse >= limit;
    }

    @Override
    public void want(long now) {
        wanted = true;
    }

    void ended(boolean success, boolean lost) {
        succeeded += success ? 1 : 0;
        endpointLost |= lost;
    }

    /** Switches to a new coordinator; grants of earlier terms are no longer accepted. */
    void homeChanged(HolderId newHome, long newTerm) {
        if (newTerm > term) {
            home = newHome;
            term = newTerm;
            sentAt = Long.MIN_VALUE / 2;
        }
    }

    /** Applies a grant; returns whether a request may start that could not start before. */
    boolean granted(CreditMessage.Grant grant, long now) {
        if (grant.term() != term || grant.sequence() != sequence) {
            return false;
        }
        boolean before = available(now);
        outstanding = false;
        limit = grant.limit();
        confirmLower = Math.max(inUse, limit) < statedCredits;
        leaseEnd = sentAt + grant.lifetimeMillis();
        leaseMillis = grant.lifetimeMillis();
        return !before && available(now);
    }

    boolean isIdle() {
        return limit == 0 && inUse == 0 && !wanted && !confirmLower;
    }

    boolean mustSend(long now) {
        if (home == null) {
            return false;
        }
        long sinceSent = now - sentAt;
        boolean renewal = limit > 0 && sinceSent >= Math.max(RESEND_MILLIS, leaseMillis / RENEWALS_PER_LEASE);
        boolean repeat = wanted && sinceSent >= (outstanding ? RESEND_MILLIS : UNMET_REQUEST_INTERVAL_MILLIS);
        return confirmLower || renewal || repeat;
    }

    /** Returns unneeded credits and builds a request that states the remaining ones. */
    CreditMessage.Request request(long now) {
        if (now - peakAt >= IDLE_MILLIS) {
            peak = inUse;
            peakAt = now;
        }
        int desired = Math.max(inUse, peak);
        if (wanted) {
            desired = Math.max(desired, inUse + 1 + inUse / 2);
        }
        limit = now < leaseEnd ? Math.min(limit, desired) : 0;
        statedCredits = Math.max(inUse, limit);
        sequence++;
        sentAt = now;
        outstanding = true;
        wanted = false;
        confirmLower = false;
        CreditMessage.Request request =
                new CreditMessage.Request(endpoint, term, sequence, desired, statedCredits, succeeded, endpointLost);
        succeeded = 0;
        endpointLost = false;
        return request;
    }

    HolderId home() {
        return home;
    }

    long leaseEnd() {
        return leaseEnd;
    }
}
