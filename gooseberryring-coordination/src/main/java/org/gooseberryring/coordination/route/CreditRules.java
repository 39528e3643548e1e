package org.gooseberryring.coordination.route;

/**
 * Durations and shares for the credits of endpoints.
 *
 * @param leaseMillis time from sending a request for credits during which the granted credits may start new requests
 * @param maxRequestMillis longest time that an endpoint runs one request, also if its host died
 * @param reclaimAfterMillis time without a confirmation from the store after which a coordinator stops granting
 * @param maxSharePercent largest part of an endpoint's concurrency that one host may have
 */
public record CreditRules(long leaseMillis, long maxRequestMillis, long reclaimAfterMillis, int maxSharePercent) {
    private static final int PERCENT = 100;

    /** Clocks of hosts may differ in rate; a tenth is far above the drift of any clock in use. */
    private static final int CLOCK_MARGIN_PERCENT = 10;

    /** Returns the rules that hosts use unless their settings differ. */
    public static CreditRules standard() {
        return new CreditRules(30_000, 300_000, 14_400_000, 50);
    }

    /** Returns how long another host must wait to be sure that a time has passed on the host that measures it. */
    static long withMargin(long millis) {
        return millis + millis * CLOCK_MARGIN_PERCENT / PERCENT;
    }

    int maxShare(int concurrency) {
        return Math.max(1, (concurrency * maxSharePercent + PERCENT - 1) / PERCENT);
    }
}
