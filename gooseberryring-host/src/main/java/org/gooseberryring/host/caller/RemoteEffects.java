package org.gooseberryring.host.caller;

import org.gooseberryring.coordination.request.RequestEffect;

/** Effects of the request engine that need other hosts or the store; called on the request thread. */
public interface RemoteEffects {
    /** Asks for a claim, whose answer goes to the request thread. */
    void claim(OpenRequest request, RequestEffect.Claim claim);

    /** Reports the outcome of a claimed request. */
    void settle(OpenRequest request, RequestEffect.SettleClaim settle);

    /** Answers a request with the answer recorded for its idempotency key. */
    void replay(OpenRequest request);

    /** Tells all hosts about a request that crashes endpoints. */
    void spreadQuarantine(RequestEffect.SpreadQuarantine quarantine);

    /** Tells a model engine that nobody needs the answer to a request any more. */
    void cancelAtEngine(String address, String requestId);
}
