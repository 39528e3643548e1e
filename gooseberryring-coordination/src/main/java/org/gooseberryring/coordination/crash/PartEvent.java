package org.gooseberryring.coordination.crash;

import java.util.List;

import org.gooseberryring.state.EndpointProcess;

/** Observation of a host about parts of requests. */
public sealed interface PartEvent {
    /**
     * A process of an endpoint crashed while it was about to answer a request; other hosts need this as evidence.
     *
     * @param process process that crashed
     * @param parts parts of the prompt of the request, in order
     */
    record Crashed(EndpointProcess process, List<RequestPart> parts) implements PartEvent {
        public Crashed {
            parts = List.copyOf(parts);
        }
    }

    /**
     * An endpoint answered a request with the part without crashing; other hosts need this as evidence.
     *
     * @param part part of a request
     * @param ageMillis milliseconds since then
     */
    record Answered(RequestPart part, long ageMillis) implements PartEvent {}

    /**
     * The verdict of this host on a part has changed.
     *
     * @param verdict new verdict
     * @param crashes crashes that this host knows and that the part explains
     * @param reporter host that reported the verdict, null if this host reached it
     */
    record VerdictChanged(PartVerdict verdict, int crashes, String reporter) implements PartEvent {}

    /**
     * This host rejects a request because of a part.
     *
     * @param part rejected part
     * @param requestId request that is rejected
     */
    record RequestRejected(RequestPart part, String requestId) implements PartEvent {}

    /**
     * This host sends one request with a rejected part, to find out whether the verdict still holds.
     *
     * @param part rejected part
     * @param requestId request that is sent
     */
    record TrialStarted(RequestPart part, String requestId) implements PartEvent {}
}
