package org.gooseberryring.host.peer;

import org.gooseberryring.coordination.limit.TokenMessage;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.control.LimitControl;
import org.gooseberryring.host.engine.TokenPoolInputs;

/** Carries token messages between the wallet and the keeper of this host and those of others. */
public final class TokenRoutes {
    // A batch lives for 5 s from its request; an older message can only be too late.
    private static final long LIFETIME_MILLIS = 2000;

    private final String self;
    private final PeerMessageSender peers;
    private final ControlLoop control;
    private TokenPoolInputs requests;
    private volatile LimitControl limits;

    public TokenRoutes(String self, PeerMessageSender peers, ControlLoop control) {
        this.self = self;
        this.peers = peers;
        this.control = control;
    }

    /** Names the owners of the wallet and the keeper; must precede the first message. */
    public void connect(TokenPoolInputs tokenPool, LimitControl limitControl) {
        requests = tokenPool;
        limits = limitControl;
    }

    /** Sends a message of this host to the named host, which may be this one. */
    public void send(String receiver, TokenMessage message) {
        if (receiver.equals(self)) {
            received(self, message);
        } else {
            peers.send(receiver, TokenMessages.encode(message), LIFETIME_MILLIS);
        }
    }

    /** Takes a message that the named host sent to this one. */
    public void received(String sender, TokenMessage message) {
        if (limits == null) {
            // The host is still starting; the sender asks again.
            return;
        }
        if (message instanceof TokenMessage.Grant grant && !limits.isLoan(grant)) {
            requests.granted(sender, grant);
        } else {
            control.offer(now -> limits.onMessage(sender, message, now));
        }
    }
}
