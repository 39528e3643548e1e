package org.gooseberryring.coordination.request;

import org.gooseberryring.coordination.crash.PartEvent;
import org.gooseberryring.coordination.crash.RequestCrash;
import org.gooseberryring.coordination.route.RouteForecast;
import org.gooseberryring.coordination.stream.StreamRecord;
import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.Verdict;

/** Action that the request engine requests from its host. */
public sealed interface RequestEffect {
    /**
     * Sends the request to an endpoint.
     *
     * @param requestId request to send
     * @param attempt number of the attempt, from 1
     * @param endpoint identifier of the endpoint
     * @param via host that passes the request on to the endpoint, null if this host sends it itself
     * @param forecast forecast for the attempt
     */
    record Dispatch(String requestId, int attempt, String endpoint, String via, RouteForecast forecast)
            implements RequestEffect {
        /** Sends the request to an endpoint that this host reaches itself. */
        public Dispatch(String requestId, int attempt, String endpoint, RouteForecast forecast) {
            this(requestId, attempt, endpoint, null, forecast);
        }
    }

    /**
     * Sends the request to a host of another failure domain, which dispatches it there.
     *
     * @param requestId request to send
     * @param attempt number of the attempt, from 1
     * @param failureDomain failure domain that can serve it
     */
    record Relay(String requestId, int attempt, String failureDomain) implements RequestEffect {}

    /**
     * Sends a refusal to the caller at once.
     *
     * @param requestId request that is refused
     * @param code reason
     * @param verdict whether the request may have run
     * @param retryAfterMillis milliseconds after which a retry may succeed, 0 if a retry does not help
     * @param detail explanation for the caller
     */
    record Refuse(String requestId, ErrorCode code, Verdict verdict, long retryAfterMillis, String detail)
            implements RequestEffect {}

    /**
     * Requests a claim from the owner of the idempotency key's shard.
     *
     * @param requestId request that needs the claim
     * @param organisation organisation that the key belongs to
     * @param idempotencyKey key that the caller gave
     * @param requestDigest digest of the request
     */
    record Claim(String requestId, String organisation, String idempotencyKey, String requestDigest)
            implements RequestEffect {}

    /**
     * Reports the outcome of a claimed request to the owner of the claim.
     *
     * @param requestId request that was claimed
     * @param verdict NOT_RUN releases the claim, COMPLETED records the response that the host kept
     */
    record SettleClaim(String requestId, Verdict verdict) implements RequestEffect {}

    /**
     * Sends the caller the response recorded for its idempotency key.
     *
     * @param requestId request that repeats an earlier one
     */
    record Replay(String requestId) implements RequestEffect {}

    /**
     * Cancels an attempt at its endpoint because the response is no longer needed.
     *
     * @param requestId request to cancel
     * @param attempt number of the attempt
     * @param endpoint identifier of the endpoint
     */
    record Cancel(String requestId, int attempt, String endpoint) implements RequestEffect {}

    /**
     * Ends an attempt unless its response has started at the caller; with a refusal, unless any response has.
     *
     * <p>The I/O thread of the request decides. If the response has started, the effect is void, and the engine learns of
     * the start by {@link RequestEngine#onResponseStarted}; otherwise none starts any more.
     *
     * @param requestId request to end
     * @param refusal refusal that is sent to the caller at once, null if the request may be sent to another endpoint
     * @param cancel cancellation of the attempt, null if it runs on
     */
    record EndUnstarted(String requestId, Refuse refusal, Cancel cancel) implements RequestEffect {}

    /**
     * Notifies all hosts of a request whose endpoint was lost.
     *
     * @param crash loss of the endpoint
     */
    record SpreadRequestCrash(RequestCrash crash) implements RequestEffect {}

    /**
     * Notifies all hosts of an observation about prompt parts.
     *
     * @param event observation
     */
    record SpreadPartEvent(PartEvent event) implements RequestEffect {}

    /**
     * Notifies all hosts of a stream that broke off, because its caller may take it up at any of them.
     *
     * @param stream stream with the software version that began it
     */
    record SpreadStream(StreamRecord stream) implements RequestEffect {}

    /**
     * Reads the streams that other hosts have written to the store.
     *
     * @param requestId request that takes up a stream which this host does not know
     */
    record ReadStreams(String requestId) implements RequestEffect {}

    /**
     * Logs the software version to which a request that takes up a stream is bound.
     *
     * @param requestId request that takes up the stream
     * @param softwareVersion software version that began the stream, null if it is not known
     */
    record StreamTakenUp(String requestId, String softwareVersion) implements RequestEffect {}

    /**
     * Releases the identifier of a request; no further effect of the request follows.
     *
     * @param requestId request that has ended, at its caller and at its endpoint
     */
    record ReleaseIdentifier(String requestId) implements RequestEffect {}
}
