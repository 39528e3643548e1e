package org.gooseberryring.host.peer;

import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.gooseberryring.coordination.claim.ClaimResult;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.host.caller.OpenRequest;
import org.gooseberryring.host.caller.RemoteEffects;
import org.gooseberryring.host.control.ClaimControl;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.engine.RequestLoop;
import org.gooseberryring.host.fleet.HostDirectory;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.protocol.peer.QuarantineNotice;
import org.gooseberryring.protocol.peer.QuarantinedDigest;
import org.gooseberryring.state.Verdict;
import org.gooseberryring.transport.http.HttpCaller;

/** Executes the effects of the request engine that involve other hosts. */
public final class PeerRemoteEffects implements RemoteEffects {
    private static final long CANCEL_TIMEOUT_MILLIS = 1000;
    private static final long NOTICE_LIFETIME_MILLIS = 30_000;
    private static final long QUARANTINE_MILLIS = 600_000;

    private final HttpCaller caller;
    private final HostDirectory directory;
    private final PeerMessageSender peers;
    private final ControlLoop control;
    private final Map<String, ClaimResult> recordedResults = new ConcurrentHashMap<>();
    private ClaimControl claims;
    private RequestLoop requests;

    /** Creates an instance; {@link #connect} must be called before the first effect. */
    public PeerRemoteEffects(HttpCaller caller, HostDirectory directory, PeerMessageSender peers, ControlLoop control) {
        this.control = control;
        this.caller = caller;
        this.directory = directory;
        this.peers = peers;
    }

    /** Sets the receivers of claims and of their results; must be called before the first effect. */
    public void connect(ClaimControl claimControl, RequestLoop requestLoop) {
        claims = claimControl;
        requests = requestLoop;
    }

    @Override
    public void claim(OpenRequest request, RequestEffect.Claim claim) {
        control.put(now -> claims.claim(
                claim.requestId(), claim.organisation(), claim.idempotencyKey(), claim.requestDigest(), now));
    }

    @Override
    public void settle(OpenRequest request, RequestEffect.SettleClaim settle) {
        OpenRequest.Recorded recorded = request == null ? null : request.recorded();
        control.put(now -> {
            if (settle.verdict() == Verdict.NOT_RUN) {
                claims.release(settle.requestId(), now);
            } else if (settle.verdict() == Verdict.COMPLETED && recorded != null) {
                claims.record(settle.requestId(), recorded.status(), recorded.body(), now);
            } else {
                claims.stopTracking(settle.requestId());
            }
        });
    }

    @Override
    public void replay(OpenRequest request) {
        ClaimResult result =
                request == null ? null : recordedResults.remove(request.spec().id());
        if (result != null) {
            request.replay(result.status(), result.body());
        }
    }

    /** Passes the result of a claim to the request engine. */
    public void onClaimResult(String requestId, ClaimResult result) {
        if (result.decision() == ClaimResult.Decision.RECORDED) {
            recordedResults.put(requestId, result);
        }
        requests.put((engine, now) -> engine.onClaimResult(requestId, result, now));
        // By then the engine has requested the replay or no longer needs the result.
        requests.after(() -> recordedResults.remove(requestId));
    }

    @Override
    public void spreadRequestCrash(RequestEffect.SpreadRequestCrash effect) {
        QuarantineNotice notice = QuarantineNotice.newBuilder()
                .addDigests(QuarantinedDigest.newBuilder()
                        .setDigest(effect.crash().digest())
                        .setEndpointLosses(effect.crash().losses())
                        .setExpiresInMillis(QUARANTINE_MILLIS))
                .build();
        for (String host : directory.others().keySet()) {
            peers.send(host, PeerMessage.newBuilder().setQuarantineNotice(notice), NOTICE_LIFETIME_MILLIS);
        }
    }

    @Override
    public void cancelAtEngine(String address, String requestId) {
        URI uri = URI.create("http://" + address + "/v1/requests/" + requestId);
        caller.callAsync("DELETE", uri, Map.of(), null, CANCEL_TIMEOUT_MILLIS);
    }
}
