package org.gooseberryring.host.peer;

import com.google.protobuf.ByteString;
import org.gooseberryring.coordination.claim.ClaimMessage;
import org.gooseberryring.coordination.claim.ClaimResult;
import org.gooseberryring.protocol.peer.ClaimDecision;
import org.gooseberryring.protocol.peer.ClaimOutcome;
import org.gooseberryring.protocol.peer.ClaimReply;
import org.gooseberryring.protocol.peer.ClaimRequest;
import org.gooseberryring.protocol.peer.PeerMessage;

/** Converts claim messages to and from peer messages; an empty body stands for none. */
public final class ClaimMessages {
    private ClaimMessages() {}

    /** Converts a message to be sent. */
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
            ClaimResult answer = reply.result();
            return builder.setClaimReply(ClaimReply.newBuilder()
                    .setRequestId(reply.requestId())
                    .setDecision(ClaimDecision.forNumber(answer.decision().ordinal()))
                    .setRetryAfterMillis(answer.retryAfterMillis())
                    .setRecordedStatus(answer.status())
                    .setRecordedBody(bytes(answer.body())));
        }
        ClaimMessage.Outcome outcome = (ClaimMessage.Outcome) message;
        return builder.setClaimOutcome(ClaimOutcome.newBuilder()
                .setKeyDigest(ByteString.copyFromUtf8(outcome.keyDigest()))
                .setShard(outcome.shard())
                .setReleased(outcome.released())
                .setStatus(outcome.status())
                .setBody(bytes(outcome.body()))
                .setRequestId(outcome.requestId()));
    }

    static ClaimMessage.Request decode(ClaimRequest m) {
        return new ClaimMessage.Request(
                m.getRequestId(),
                m.getKeyDigest().toStringUtf8(),
                m.getRequestDigest().toStringUtf8(),
                m.getShard());
    }

    /** Converts a reply, or returns null if its decision is of a later version of the program. */
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
                        array(m.getRecordedBody())));
    }

    static ClaimMessage.Outcome decode(ClaimOutcome m) {
        return new ClaimMessage.Outcome(
                m.getKeyDigest().toStringUtf8(),
                m.getShard(),
                m.getReleased(),
                m.getStatus(),
                array(m.getBody()),
                m.getRequestId());
    }

    private static ByteString bytes(byte[] body) {
        return body == null ? ByteString.EMPTY : ByteString.copyFrom(body);
    }

    private static byte[] array(ByteString body) {
        return body.isEmpty() ? null : body.toByteArray();
    }
}
