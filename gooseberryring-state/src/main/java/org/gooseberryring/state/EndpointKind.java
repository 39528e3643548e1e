package org.gooseberryring.state;

/** Kind of an endpoint. */
public enum EndpointKind {
    /** Model engine. */
    MODEL,
    /** Plain service. */
    SERVICE
}
