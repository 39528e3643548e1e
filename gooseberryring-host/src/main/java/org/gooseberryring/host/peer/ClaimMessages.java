package org.gooseberryring.host.peer;

import com.google.protobuf.ByteString;
import org.gooseberryring.coordination.claim.ClaimMessage;
import org.gooseberryring.coordination.claim.ClaimResult;
import org.gooseberryring.protocol.peer.ClaimDecision;
import org.gooseberryring.protocol.peer.ClaimOutcome;
import org.gooseberryring.protocol.peer.ClaimReply;
import org.gooseberryring.protocol.peer.ClaimRequest;
import org.gooseberryring.protocol.peer.PeerMessage;

/** Converts claim messages to and from peer messages; an empty body represents an absent one. */
public final class ClaimMessages {
    private ClaimMessages() {}

    /** Converts a message to its peer message. */
    public static PeerMessage.Builder encode(ClaimMessage message) {
        PeerMessage.Builder builder = PeerMessage.newBuilder();
        if (message instanceof ClaimMessage.Request request) {
            return builder.setClaimRequest(ClaimRequest.newBuilder()
                    .setRequestId(request.requestId())
                    .setKeyDigest(ByteString.copyFromUtf8(request.keyDigest()))
                    .setRequestDigest(ByteString.copyFromUtf8(request.requestDigest()))
                    .setShard(request.shard()));
        }
        if (message instanceof ClaimMessage.Reply reply) {
            ClaimResult result = reply.result();
            return builder.setClaimReply(ClaimReply.newBuilder()
                    .setRequestId(reply.requestId())
                    .setDecision(ClaimDecision.forNumber(result.decision().ordinal()))
                    .setRetryAfterMillis(result.retryAfterMillis())
                    .setRecordedStatus(result.status())
                    .setRecordedBody(toByteString(result.body())));
        }
        ClaimMessage.Outcome outcome = (ClaimMessage.Outcome) message;
        return builder.setClaimOutcome(ClaimOutcome.newBuilder()
                .setKeyDigest(ByteString.copyFromUtf8(outcome.keyDigest()))
                .setShard(outcome.shard())
                .setReleased(outcome.released())
                .setStatus(outcome.status())
                .setBody(toByteString(outcome.body()))
                .setRequestId(outcome.requestId()));
    }

    static ClaimMessage.Request decode(ClaimRequest m) {
        return new ClaimMessage.Request(
                m.getRequestId(),
                m.getKeyDigest().toStringUtf8(),
                m.getRequestDigest().toStringUtf8(),
                m.getShard());
    }

    /** Converts a reply; returns {@code null} if its decision was added in a later version of the program. */
    static ClaimMessage.Reply decode(ClaimReply m) {
        int decision = m.getDecisionValue();
        if (decision < 0 || decision >= ClaimResult.Decision.values().length) {
            return null;
        }
        return new ClaimMessage.Reply(
                m.getRequestId(),
                new ClaimResult(
                        ClaimResult.Decision.values()[decision],
                        m.getRetryAfterMillis(),
                        m.getRecordedStatus(),
                        toArray(m.getRecordedBody())));
    }

    static ClaimMessage.Outcome decode(ClaimOutcome m) {
        return new ClaimMessage.Outcome(
                m.getKeyDigest().toStringUtf8(),
                m.getShard(),
                m.getReleased(),
                m.getStatus(),
                toArray(m.getBody()),
                m.getRequestId());
    }

    private static ByteString toByteString(byte[] body) {
        return body == null ? ByteString.EMPTY : ByteString.copyFrom(body);
    }

    private static byte[] toArray(ByteString body) {
        return body.isEmpty() ? null : body.toByteArray();
    }
}
