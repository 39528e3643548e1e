package org.gooseberryring.state;

/** What may be repeated of the requests of a route. */
public enum RequestKind {
    /** Answered by a stream of events; runs once unless its route allows it to be resumed. */
    STREAM,
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once. */
    NON_IDEMPOTENT
}
