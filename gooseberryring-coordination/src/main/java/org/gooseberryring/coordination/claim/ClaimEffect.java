package org.gooseberryring.coordination.claim;

import org.gooseberryring.coordination.store.StoreRequest;

/** Action that the caller of a claim component must carry out. */
public sealed interface ClaimEffect {
    /**
     * Sends a message to a host, which may be this one.
     *
     * @param host identifier of the receiver
     * @param message message to send
     */
    record Send(String host, ClaimMessage message) implements ClaimEffect {}

    /** Component that made a store call. */
    enum Caller {
        /** {@link ClaimShards} or {@link ClaimOwner}. */
        OWNER,
        /** {@link ClaimRouter}. */
        ROUTER
    }

    /**
     * Calls the object store. The reply must be passed only to the component that made the call. Otherwise an owner
     * would treat the reply to a router's read of the same object as the reply to its own commit.
     *
     * @param caller component that handles the reply
     * @param request call to make
     */
    record Store(Caller caller, StoreRequest request) implements ClaimEffect {}

    /**
     * Reports the final result of a claim, exactly once for each claim.
     *
     * @param requestId request that made the claim
     * @param result result of the claim
     */
    record ReportResult(String requestId, ClaimResult result) implements ClaimEffect {}
}
