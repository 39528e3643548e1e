package org.gooseberryring.host.peer;

import org.gooseberryring.coordination.limit.TokenMessage;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.control.LimitControl;
import org.gooseberryring.host.engine.TokenPoolInputs;

/** Routes token messages between the token pools and the keepers of this and other hosts. */
public final class TokenRoutes {
    // A batch expires 5 s after it was requested, so an older message is of no use.
    private static final long LIFETIME_MILLIS = 2000;

    private final String self;
    private final PeerMessageSender peers;
    private final ControlLoop control;
    private TokenPoolInputs pool;
    private volatile LimitControl limits;

    public TokenRoutes(String self, PeerMessageSender peers, ControlLoop control) {
        this.self = self;
        this.peers = peers;
        this.control = control;
    }

    /** Sets the token pool and the keeper of this host; must be called before the first message. */
    public void connect(TokenPoolInputs tokenPool, LimitControl limitControl) {
        pool = tokenPool;
        limits = limitControl;
    }

    /** Sends a message of this host to the given host, which may be this one. */
    public void send(String receiver, TokenMessage message) {
        if (receiver.equals(self)) {
            received(self, message);
        } else {
            peers.send(receiver, TokenMessages.encode(message), LIFETIME_MILLIS);
        }
    }

    /** Handles a message that the given host sent to this one. */
    public void received(String sender, TokenMessage message) {
        if (limits == null) {
            // The host is still starting; the sender repeats its request.
            return;
        }
        if (message instanceof TokenMessage.Grant grant && !limits.isLoan(grant)) {
            pool.onGrant(sender, grant);
        } else {
            control.offer(now -> limits.onMessage(sender, message, now));
        }
    }
}
