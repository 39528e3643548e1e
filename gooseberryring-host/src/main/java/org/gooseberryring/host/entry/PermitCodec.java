package org.gooseberryring.host.entry;

import org.gooseberryring.coordination.ratelimit.PermitGrant;
import org.gooseberryring.coordination.ratelimit.PermitPurpose;
import org.gooseberryring.coordination.ratelimit.PermitRequest;
import org.gooseberryring.coordination.ratelimit.RateLimit;
import org.gooseberryring.protocol.peer.EndpointRateLimit;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.state.EndpointProcess;

/** Converts rate limits of endpoints and their permits to peer messages and back. */
final class PermitCodec {
    private PermitCodec() {}

    static EndpointRateLimit.Builder encode(EndpointProcess process, RateLimit limit) {
        return EndpointRateLimit.newBuilder()
                .setEndpoint(process.endpoint())
                .setBornMillis(process.bornMillis())
                .setLimited(limit.isLimited())
                .setRequestsPerSecond(limit.isLimited() ? limit.requestsPerSecond() : 0)
                .setSequence(limit.sequence());
    }

    static EndpointProcess process(EndpointRateLimit message) {
        return new EndpointProcess(message.getEndpoint(), message.getBornMillis());
    }

    /** Decodes a limit; one that is no number of requests is taken for none, as if it had not been stated. */
    static RateLimit limit(EndpointRateLimit message) {
        double rate = message.getRequestsPerSecond();
        if (!message.getLimited()) {
            return new RateLimit(Double.POSITIVE_INFINITY, message.getSequence());
        }
        return rate >= 0 ? new RateLimit(rate, message.getSequence()) : RateLimit.NONE;
    }

    static PeerMessage.Builder encode(PermitRequest request) {
        return PeerMessage.newBuilder()
                .setPermitRequest(org.gooseberryring.protocol.peer.PermitRequest.newBuilder()
                        .setLimit(encode(request.process(), request.limit()))
                        .setPurpose(encode(request.purpose()))
                        .setNumber(request.number())
                        .setWanted(request.wanted()));
    }

    static PermitRequest decode(org.gooseberryring.protocol.peer.PermitRequest message) {
        return new PermitRequest(
                process(message.getLimit()),
                decode(message.getPurpose()),
                message.getNumber(),
                Math.max(0, message.getWanted()),
                limit(message.getLimit()));
    }

    static PeerMessage.Builder encode(PermitGrant grant) {
        return PeerMessage.newBuilder()
                .setPermitGrant(org.gooseberryring.protocol.peer.PermitGrant.newBuilder()
                        .setLimit(encode(grant.process(), grant.limit()))
                        .setPurpose(encode(grant.purpose()))
                        .setNumber(grant.number())
                        .setPermits(grant.permits())
                        .setWaitMillis(grant.waitMillis())
                        .setIntervalMillis(grant.intervalMillis()));
    }

    static PermitGrant decode(org.gooseberryring.protocol.peer.PermitGrant message) {
        return new PermitGrant(
                process(message.getLimit()),
                decode(message.getPurpose()),
                message.getNumber(),
                Math.max(0, message.getPermits()),
                Math.max(0, message.getWaitMillis()),
                Math.max(0, message.getIntervalMillis()),
                limit(message.getLimit()));
    }

    private static org.gooseberryring.protocol.peer.PermitPurpose encode(PermitPurpose purpose) {
        return purpose == PermitPurpose.CONTROL
                ? org.gooseberryring.protocol.peer.PermitPurpose.PERMIT_PURPOSE_CONTROL
                : org.gooseberryring.protocol.peer.PermitPurpose.PERMIT_PURPOSE_REQUEST;
    }

    private static PermitPurpose decode(org.gooseberryring.protocol.peer.PermitPurpose purpose) {
        return purpose == org.gooseberryring.protocol.peer.PermitPurpose.PERMIT_PURPOSE_CONTROL
                ? PermitPurpose.CONTROL
                : PermitPurpose.REQUEST;
    }
}
