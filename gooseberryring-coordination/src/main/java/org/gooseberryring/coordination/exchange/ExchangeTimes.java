package org.gooseberryring.coordination.exchange;

/**
 * Times of the exchange, in milliseconds.
 *
 * @param minNewsMillis shortest time between two messages on a link
 * @param linkMillis time between two messages with news for each link, on a host with one processor core; a host with
 *     more links or less processor time sends its news less often
 * @param keepAliveMillis longest time between two messages on a link
 * @param probeMillis time between two messages to a host that does not answer
 * @param liveMillis time without a message after which another relay is used too
 * @param freshMillis age up to which the state of a host is passed on as present
 * @param acknowledgeMillis time without an acknowledgement after which a link is opened anew
 * @param goneMillis time without a sign of life after which the state of a host is dropped
 */
public record ExchangeTimes(
        long minNewsMillis,
        long linkMillis,
        long keepAliveMillis,
        long probeMillis,
        long liveMillis,
        long freshMillis,
        long acknowledgeMillis,
        long goneMillis) {
    /** Returns the time between two messages with news on a link of a host. */
    long newsMillis(int links, double processors) {
        double share = processors > 0 ? processors : 1;
        long wanted = (long) (linkMillis * links / share);
        return Math.max(minNewsMillis, Math.min(keepAliveMillis, wanted));
    }

    /** Returns the times for hosts that are a few milliseconds apart. */
    public static ExchangeTimes defaults() {
        return new ExchangeTimes(100, 20, 300, 1_000, 900, 700, 1_500, 10_000);
    }
}
