package org.gooseberryring.transport.endpoint;

/**
 * What an endpoint states of itself in the head of an answer, whatever the answer is.
 *
 * @param leaving whether it leaves and wants no further request
 * @param backOffMillis milliseconds for which it wants no request of this host, 0 if it states no such wish
 */
public record EndpointSignals(boolean leaving, long backOffMillis) {
    public static final EndpointSignals NONE = new EndpointSignals(false, 0);
}
