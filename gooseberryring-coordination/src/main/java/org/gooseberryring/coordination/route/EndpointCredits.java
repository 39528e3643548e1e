package org.gooseberryring.coordination.route;

/** Concurrency credits that this host holds for one endpoint. */
public interface EndpointCredits {
    /** Returns whether a request may be started now. */
    boolean available(long now);

    /** Takes a credit for a request that is started now; call only if one is available. */
    void acquire(long now);

    /** Gives back the credit of a request that ended. */
    void release(long now);

    /** Notes that a request waits for a credit. */
    void want(long now);
}
