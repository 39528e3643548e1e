package org.gooseberryring.host.peer;

import java.net.URI;
import java.util.Map;

import org.gooseberryring.coordination.claim.ClaimAnswer;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.host.caller.EffectLinks;
import org.gooseberryring.host.caller.OpenRequest;
import org.gooseberryring.host.engine.RequestLoop;
import org.gooseberryring.host.fleet.HostDirectory;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.protocol.peer.QuarantineNotice;
import org.gooseberryring.protocol.peer.QuarantinedDigest;
import org.gooseberryring.transport.http.HttpCaller;

/** Carries out the effects of the request engine that concern other hosts. */
public final class PeerEffectLinks implements EffectLinks {
    private static final long RETRY_AFTER_MILLIS = 1000;
    private static final long CANCEL_MILLIS = 1000;
    private static final long NOTICE_LIFETIME_MILLIS = 30_000;
    private static final long QUARANTINE_MILLIS = 600_000;

    private final HttpCaller caller;
    private final HostDirectory directory;
    private final PeerSend peers;

    public PeerEffectLinks(HttpCaller caller, HostDirectory directory, PeerSend peers) {
        this.caller = caller;
        this.directory = directory;
        this.peers = peers;
    }

    @Override
    public void claim(OpenRequest request, RequestEffect.Claim claim, RequestLoop loop) {
        ClaimAnswer answer = new ClaimAnswer(ClaimAnswer.Decision.UNAVAILABLE, RETRY_AFTER_MILLIS, 0, null);
        loop.put((engine, now) -> engine.claimAnswered(claim.requestId(), answer, now));
    }

    @Override
    public void settle(OpenRequest request, RequestEffect.SettleClaim settle) {
        // No claim was granted, so there is none to settle.
    }

    @Override
    public void replay(OpenRequest request) {
        // No answer was recorded, so there is none to replay.
    }

    @Override
    public void spread(RequestEffect.SpreadQuarantine quarantine) {
        QuarantineNotice notice = QuarantineNotice.newBuilder()
                .addDigests(QuarantinedDigest.newBuilder()
                        .setDigest(quarantine.digest())
                        .setEndpointLosses(quarantine.endpointLosses())
                        .setExpiresInMillis(QUARANTINE_MILLIS))
                .build();
        for (String host : directory.others().keySet()) {
            peers.send(host, PeerMessage.newBuilder().setQuarantineNotice(notice), NOTICE_LIFETIME_MILLIS);
        }
    }

    @Override
    public void cancelAtEngine(String address, String requestId) {
        URI uri = URI.create("http://" + address + "/v1/requests/" + requestId);
        caller.callAsync("DELETE", uri, Map.of(), null, CANCEL_MILLIS);
    }
}
