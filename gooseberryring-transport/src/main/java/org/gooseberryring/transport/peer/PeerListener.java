package org.gooseberryring.transport.peer;

import org.gooseberryring.protocol.peer.PeerMessage;

/** Takes verified messages of other hosts, on a network thread that must not be blocked. */
@FunctionalInterface
public interface PeerListener {
    void onMessage(PeerMessage message);
}
