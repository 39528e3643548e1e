package org.gooseberryring.coordination.route;

/** Concurrency credits of this host for one endpoint. */
public interface EndpointCredits {
    /** Returns whether a request may be started now. */
    boolean available(long now);

    /** Uses a credit for a request that starts now; call only if one is available. */
    void acquire(long now);

    /** Releases the credit of a request that ended. */
    void release(long now);

    /** Records that a request waits for a credit. */
    void want(long now);
}
