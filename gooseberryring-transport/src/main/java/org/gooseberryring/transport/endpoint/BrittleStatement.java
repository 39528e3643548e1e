package org.gooseberryring.transport.endpoint;

/** What the head of a response states about whether its endpoint fails when it must reject many requests. */
public enum BrittleStatement {
    /** States nothing, so that an earlier statement stays valid. */
    UNKNOWN,
    /** The endpoint may reject any number of requests. */
    SOUND,
    /** The endpoint fails when it rejects more than a few requests a second for want of room. */
    BRITTLE
}
