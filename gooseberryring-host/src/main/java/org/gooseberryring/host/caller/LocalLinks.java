package org.gooseberryring.host.caller;

import java.net.URI;
import java.util.Map;

import org.gooseberryring.coordination.claim.ClaimAnswer;
import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.host.engine.RequestLoop;
import org.gooseberryring.state.Verdict;
import org.gooseberryring.transport.http.HttpCaller;

/** Effects of a host without links to others: claims and relays are refused as not run. */
public final class LocalLinks implements EffectLinks {
    private static final long RETRY_AFTER_MILLIS = 1000;
    private static final long CANCEL_MILLIS = 1000;

    private final HttpCaller caller;

    public LocalLinks(HttpCaller caller) {
        this.caller = caller;
    }

    @Override
    public void relay(OpenRequest request, RequestEffect.Relay relay, RequestLoop loop) {
        loop.attemptEnded(
                relay.requestId(), relay.attempt(), new AttemptOutcome(Verdict.NOT_RUN, 0, 0, false, false, -1));
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
        // The engine of this host keeps the digest; there is no other host to tell.
    }

    @Override
    public void cancelAtEngine(String address, String requestId) {
        caller.callAsync(
                "DELETE", URI.create("http://" + address + "/v1/requests/" + requestId), Map.of(), null, CANCEL_MILLIS);
    }
}
