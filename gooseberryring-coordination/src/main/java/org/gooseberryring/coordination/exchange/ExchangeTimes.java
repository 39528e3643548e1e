package org.gooseberryring.coordination.exchange;

/**
 * Times of the exchange, in milliseconds.
 *
 * @param minUpdateMillis shortest interval between two messages with updates on a link
 * @param perLinkMillis interval between two messages with updates, for each link of a host with one processor core; a
 *     host with more links or fewer cores sends updates less often
 * @param keepAliveMillis longest interval between two messages on a link
 * @param probeMillis interval between two messages to a host that does not respond
 * @param relayTimeoutMillis time without a message after which another relay is used in addition
 * @param freshMillis time since a host was last seen up to which it is not reported as silent
 * @param acknowledgeTimeoutMillis time without an acknowledgement after which a link is reopened
 * @param hostExpiryMillis time after which the state of a silent host is removed
 */
public record ExchangeTimes(
        long minUpdateMillis,
        long perLinkMillis,
        long keepAliveMillis,
        long probeMillis,
        long relayTimeoutMillis,
        long freshMillis,
        long acknowledgeTimeoutMillis,
        long hostExpiryMillis) {
    /** Returns the interval between two messages with updates on a link of a host. */
    long updateIntervalMillis(int links, double processors) {
        double cores = processors > 0 ? processors : 1;
        long interval = (long) (perLinkMillis * links / cores);
        return Math.max(minUpdateMillis, Math.min(keepAliveMillis, interval));
    }

    /** Returns the times for hosts with a network latency of a few milliseconds. */
    public static ExchangeTimes defaults() {
        return new ExchangeTimes(100, 20, 300, 1_000, 900, 700, 1_500, 10_000);
    }
}
