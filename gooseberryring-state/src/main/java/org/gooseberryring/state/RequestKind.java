package org.gooseberryring.state;

/** Kind of the requests of a route, which determines whether they may be repeated. */
public enum RequestKind {
    /** The response is a stream of events; the request runs once unless its route is resumable. */
    STREAM,
    /** The request may run more than once. */
    IDEMPOTENT,
    /** The request runs at most once. */
    NON_IDEMPOTENT
}
