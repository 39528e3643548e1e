package org.gooseberryring.transport.endpoint;

/**
 * Signals of an endpoint about itself in the head of a response, independent of the result of the request.
 *
 * @param leaving whether the endpoint is draining and must get no further request
 * @param backOffMillis milliseconds for which this host must send no request to the endpoint, 0 if there is no such
 *     signal
 * @param rate statement of the endpoint's rate limit
 * @param brittle statement whether the endpoint fails when it must reject many requests
 */
public record EndpointSignals(boolean leaving, long backOffMillis, RateStatement rate, BrittleStatement brittle) {
    public static final EndpointSignals NONE =
            new EndpointSignals(false, 0, RateStatement.UNKNOWN, BrittleStatement.UNKNOWN);
}
