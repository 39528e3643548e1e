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
 * @param replayed frames dropped because they were received before or are too old to check
 * @param queueFull messages dropped because the queue of the peer was full
 * @param expired messages dropped because their lifetime expired before they could be sent
 * @param unknownPeer messages dropped because the address of the peer was unknown
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
