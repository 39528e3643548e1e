package org.gooseberryring.state;

/** Kind of work that an endpoint does. */
public enum EndpointKind {
    /** Model engine. */
    MODEL,
    /** Plain service. */
    SERVICE
}
