package org.gooseberryring.host.caller;

import org.gooseberryring.coordination.crash.PartEvent;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.stream.StreamRecord;

/** Effects of the request engine that involve other hosts or the store; called on the request thread. */
public interface RemoteEffects {
    /** Requests a claim; the result is passed to the request thread. */
    void claim(OpenRequest request, RequestEffect.Claim claim);

    /** Reports the outcome of a claimed request. */
    void settle(OpenRequest request, RequestEffect.SettleClaim settle);

    /** Responds to a request with the response recorded for its idempotency key. */
    void replay(OpenRequest request);

    /** Notifies all hosts of a request that crashes endpoints. */
    void spreadRequestCrash(RequestEffect.SpreadRequestCrash effect);

    /** Notifies all hosts of an observation about prompt parts; requests without such parts cause none. */
    default void spreadPartEvent(PartEvent event) {}

    /** Notifies all hosts of a stream that broke off. */
    default void spreadStream(StreamRecord stream) {}

    /** Reads the streams of other hosts from the store. */
    default void readStreams() {}

    /** Cancels a request at a model engine because its response is no longer needed. */
    void cancelAtEngine(String address, String requestId);
}
