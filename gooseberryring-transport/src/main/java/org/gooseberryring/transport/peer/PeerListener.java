package org.gooseberryring.transport.peer;

import org.gooseberryring.protocol.peer.PeerMessage;

/** Listener for verified messages of other hosts; called on a network thread that must not be blocked. */
@FunctionalInterface
public interface PeerListener {
    void onMessage(PeerMessage message);
}
