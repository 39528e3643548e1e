package org.gooseberryring.host.peer;

import org.gooseberryring.coordination.route.CreditHolder;
import org.gooseberryring.coordination.route.CreditMessage;
import org.gooseberryring.coordination.route.HolderId;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.control.CreditControl;
import org.gooseberryring.host.engine.RequestCredits;
import org.gooseberryring.protocol.peer.CreditGrant;
import org.gooseberryring.protocol.peer.CreditRequest;

/** Routes credit messages between the credit holders and the credit coordinators of this and other hosts. */
public final class CreditRoutes {
    // A request without a reply is repeated after 50 ms; an older one is rejected by its sequence number.
    private static final long LIFETIME_MILLIS = 1000;

    private final HolderId self;
    private final PeerMessageSender peers;
    private final ControlLoop control;
    private RequestCredits holder;
    private volatile CreditControl coordinators;

    public CreditRoutes(HolderId self, PeerMessageSender peers, ControlLoop control) {
        this.self = self;
        this.peers = peers;
        this.control = control;
    }

    /** Sets the receivers of grants and requests; must be called before the first message. */
    public void connect(RequestCredits requestCredits, CreditControl creditControl) {
        holder = requestCredits;
        coordinators = creditControl;
    }

    /** Sends a request of this host to a credit coordinator. */
    public void send(CreditHolder.Outgoing outgoing) {
        if (outgoing.home().host().equals(self.host())) {
            handleRequest(self, outgoing.request());
        } else {
            peers.send(outgoing.home().host(), CreditMessages.encode(outgoing.request()), LIFETIME_MILLIS);
        }
    }

    /** Sends a grant of this host to the process that requested it. */
    public void send(HolderId receiver, CreditMessage.Grant grant) {
        if (receiver.equals(self)) {
            holder.onGrant(grant);
        } else if (!receiver.host().equals(self.host())) {
            peers.send(receiver.host(), CreditMessages.encode(grant, receiver.incarnation()), LIFETIME_MILLIS);
        }
    }

    /** Handles a request of a process of another host. */
    void received(HolderId sender, CreditRequest message) {
        handleRequest(sender, CreditMessages.decode(message));
    }

    /** Handles a grant; drops one for an earlier process of this host, whose sequence number may be valid here too. */
    void received(CreditGrant message) {
        if (coordinators != null && message.getHolderIncarnation() == self.incarnation()) {
            holder.onGrant(CreditMessages.decode(message));
        }
    }

    private void handleRequest(HolderId sender, CreditMessage.Request request) {
        if (coordinators != null) {
            control.offer(now -> coordinators.onRequest(sender, request, now));
        }
    }
}
