package org.gooseberryring.coordination.path;

/** Why another host has not passed a request on to an endpoint. */
public enum RelayFailure {
    /** The host could not be reached, or takes no requests of other hosts now. */
    HOST_UNAVAILABLE,
    /** The host does not reach the endpoint either. */
    ENDPOINT_UNREACHABLE
}
