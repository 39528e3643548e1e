package org.gooseberryring.host.peer;

import org.gooseberryring.coordination.limit.TokenMessage;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.protocol.peer.TokenGrant;
import org.gooseberryring.protocol.peer.TokenRequest;
import org.gooseberryring.protocol.peer.TokenReturn;

/** Converts token messages to and from peer messages. */
final class TokenMessages {
    private TokenMessages() {}

    static PeerMessage.Builder encode(TokenMessage message) {
        PeerMessage.Builder builder = PeerMessage.newBuilder();
        if (message instanceof TokenMessage.Request request) {
            return builder.setTokenRequest(TokenRequest.newBuilder()
                    .setRequestId(request.requestId())
                    .setOrganisation(request.organisation())
                    .setTokens(request.tokens())
                    .setLend(request.lend()));
        }
        if (message instanceof TokenMessage.Grant grant) {
            return builder.setTokenGrant(TokenGrant.newBuilder()
                    .setRequestId(grant.requestId())
                    .setOrganisation(grant.organisation())
                    .setTokens(grant.tokens())
                    .setLifetimeMillis(grant.lifetimeMillis())
                    .setRetryAfterMillis(grant.retryAfterMillis())
                    .setBatchId(grant.batchId()));
        }
        TokenMessage.Return returned = (TokenMessage.Return) message;
        return builder.setTokenReturn(TokenReturn.newBuilder()
                .setOrganisation(returned.organisation())
                .setBatchId(returned.batchId())
                .setTokens(returned.tokens()));
    }

    static TokenMessage.Request decode(TokenRequest m) {
        return new TokenMessage.Request(m.getRequestId(), m.getOrganisation(), m.getTokens(), m.getLend());
    }

    static TokenMessage.Grant decode(TokenGrant m) {
        return new TokenMessage.Grant(
                m.getRequestId(),
                m.getOrganisation(),
                m.getTokens(),
                m.getLifetimeMillis(),
                m.getRetryAfterMillis(),
                m.getBatchId());
    }

    static TokenMessage.Return decode(TokenReturn m) {
        return new TokenMessage.Return(m.getOrganisation(), m.getBatchId(), m.getTokens());
    }
}
