package org.gooseberryring.host.peer;

import org.gooseberryring.protocol.peer.PeerMessage;

/** Sends a message to another host. */
@FunctionalInterface
public interface PeerMessageSender {
    /**
     * Queues a message.
     *
     * @param receiver identifier of the other host
     * @param body message without sender, sequence and receiver
     * @param lifetimeMillis milliseconds after which the message is of no use
     * @return false if the host is unknown or too much waits for it
     */
    boolean send(String receiver, PeerMessage.Builder body, long lifetimeMillis);
}
