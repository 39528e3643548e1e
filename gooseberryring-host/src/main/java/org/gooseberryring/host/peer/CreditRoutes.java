package org.gooseberryring.host.peer;

import org.gooseberryring.coordination.route.CreditHolder;
import org.gooseberryring.coordination.route.CreditMessage;
import org.gooseberryring.coordination.route.HolderId;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.control.CreditControl;
import org.gooseberryring.host.engine.RequestCredits;
import org.gooseberryring.protocol.peer.CreditGrant;
import org.gooseberryring.protocol.peer.CreditRequest;

/** Carries credit messages between the holder and the homes of this host and those of others. */
public final class CreditRoutes {
    // An unanswered request is repeated after 50 ms; an older one is refused by its sequence number.
    private static final long LIFETIME_MILLIS = 1000;

    private final HolderId self;
    private final PeerMessageSender peers;
    private final ControlLoop control;
    private RequestCredits holder;
    private volatile CreditControl homes;

    public CreditRoutes(HolderId self, PeerMessageSender peers, ControlLoop control) {
        this.self = self;
        this.peers = peers;
        this.control = control;
    }

    /** Names the owners of the holder and the homes; must precede the first message. */
    public void connect(RequestCredits requestCredits, CreditControl creditControl) {
        holder = requestCredits;
        homes = creditControl;
    }

    /** Sends a request of this host to a home. */
    public void send(CreditHolder.Outgoing outgoing) {
        if (outgoing.home().host().equals(self.host())) {
            requested(self, outgoing.request());
        } else {
            peers.send(outgoing.home().host(), CreditMessages.encode(outgoing.request()), LIFETIME_MILLIS);
        }
    }

    /** Sends a grant of this host to the process that asked for it. */
    public void send(HolderId receiver, CreditMessage.Grant grant) {
        if (receiver.equals(self)) {
            holder.granted(grant);
        } else if (!receiver.host().equals(self.host())) {
            peers.send(receiver.host(), CreditMessages.encode(grant, receiver.incarnation()), LIFETIME_MILLIS);
        }
    }

    /** Takes a request that a process of another host sent. */
    void received(HolderId sender, CreditRequest message) {
        requested(sender, CreditMessages.decode(message));
    }

    /** Takes a grant; one for an earlier process of this host is dropped, because its sequence number may fit here. */
    void received(CreditGrant message) {
        if (homes != null && message.getHolderIncarnation() == self.incarnation()) {
            holder.granted(CreditMessages.decode(message));
        }
    }

    private void requested(HolderId sender, CreditMessage.Request request) {
        if (homes != null) {
            control.offer(now -> homes.onRequest(sender, request, now));
        }
    }
}
