package org.gooseberryring.transport.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/**
 * Counters of the peer links.
 *
 * @param sent frames written
 * @param received frames accepted
 * @param wrongHmac frames dropped for a wrong or missing HMAC
 * @param malformed frames dropped because they could not be parsed
 * @param wrongReceiver frames dropped because they were meant for another host
 * @param replayed frames dropped because they were received before
 * @param queueFull messages dropped because too many waited for the peer
 * @param expired messages dropped because their lifetime ended before they could be sent
 * @param unknownPeer messages dropped because the address of the peer is not known
 */
record PeerCounters(
        Counter sent,
        Counter received,
        Counter wrongHmac,
        Counter malformed,
        Counter wrongReceiver,
        Counter replayed,
        Counter queueFull,
        Counter expired,
        Counter unknownPeer) {
    static PeerCounters of(MetricRegistry registry) {
        return new PeerCounters(
                registry.counter("peer.sent"),
                registry.counter("peer.received"),
                registry.counter("peer.dropped.hmac"),
                registry.counter("peer.dropped.malformed"),
                registry.counter("peer.dropped.receiver"),
                registry.counter("peer.dropped.replayed"),
                registry.counter("peer.dropped.queue"),
                registry.counter("peer.dropped.expired"),
                registry.counter("peer.dropped.unknown"));
    }
}
