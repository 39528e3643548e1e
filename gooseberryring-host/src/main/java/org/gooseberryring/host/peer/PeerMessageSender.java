package org.gooseberryring.host.peer;

import org.gooseberryring.protocol.peer.PeerMessage;

/** Sends messages to other hosts. */
@FunctionalInterface
public interface PeerMessageSender {
    /**
     * Queues a message for sending.
     *
     * @param receiver identifier of the other host
     * @param body message without sender, sequence number and receiver
     * @param lifetimeMillis milliseconds after which the message is obsolete
     * @return false if the host is unknown or its queue is full
     */
    boolean send(String receiver, PeerMessage.Builder body, long lifetimeMillis);
}
