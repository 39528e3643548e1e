package org.gooseberryring.host.caller;

import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.host.engine.RequestLoop;

/** Effects of the request engine that need other hosts or the store; called on the request thread. */
public interface EffectLinks {
    /** Asks for a claim and hands the answer to the loop. */
    void claim(OpenRequest request, RequestEffect.Claim claim, RequestLoop loop);

    /** Reports the outcome of a claimed request. */
    void settle(OpenRequest request, RequestEffect.SettleClaim settle);

    /** Answers a request with the answer recorded for its idempotency key. */
    void replay(OpenRequest request);

    /** Tells all hosts about a request that crashes endpoints. */
    void spread(RequestEffect.SpreadQuarantine quarantine);

    /** Tells a model engine that nobody needs the answer to a request any more. */
    void cancelAtEngine(String address, String requestId);
}
