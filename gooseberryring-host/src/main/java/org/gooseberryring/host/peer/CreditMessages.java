package org.gooseberryring.host.peer;

import org.gooseberryring.coordination.route.CreditMessage;
import org.gooseberryring.protocol.peer.CreditGrant;
import org.gooseberryring.protocol.peer.CreditRequest;
import org.gooseberryring.protocol.peer.PeerMessage;

/** Converts credit messages to and from peer messages. */
final class CreditMessages {
    private CreditMessages() {}

    static PeerMessage.Builder encode(CreditMessage.Request request) {
        return PeerMessage.newBuilder()
                .setCreditRequest(CreditRequest.newBuilder()
                        .setEndpoint(request.endpoint())
                        .setTerm(request.term())
                        .setSequence(request.sequence())
                        .setCredits(request.wanted())
                        .setHeld(request.held())
                        .setSucceeded(request.succeeded())
                        .setEndpointLost(request.endpointLost()));
    }

    static PeerMessage.Builder encode(CreditMessage.Grant grant, long holderIncarnation) {
        return PeerMessage.newBuilder()
                .setCreditGrant(CreditGrant.newBuilder()
                        .setEndpoint(grant.endpoint())
                        .setTerm(grant.term())
                        .setSequence(grant.sequence())
                        .setCredits(grant.limit())
                        .setLifetimeMillis(grant.lifetimeMillis())
                        .setHolderIncarnation(holderIncarnation));
    }

    static CreditMessage.Request decode(CreditRequest m) {
        return new CreditMessage.Request(
                m.getEndpoint(),
                m.getTerm(),
                m.getSequence(),
                m.getCredits(),
                m.getHeld(),
                m.getSucceeded(),
                m.getEndpointLost());
    }

    static CreditMessage.Grant decode(CreditGrant m) {
        return new CreditMessage.Grant(
                m.getEndpoint(), m.getTerm(), m.getSequence(), m.getCredits(), m.getLifetimeMillis());
    }
}
