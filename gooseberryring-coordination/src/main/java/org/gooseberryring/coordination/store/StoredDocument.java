package org.gooseberryring.coordination.store;

import java.util.function.Supplier;

/**
 * Object of the store that each host reads when it starts and one host writes.
 *
 * <p>If two hosts write, the write with an outdated version fails, and the object is read again before the next one. At
 * most one call is in flight.
 */
public final class StoredDocument {
    private static final long RETRY_MILLIS = 500;

    private final String key;
    private boolean isRead;
    private boolean isCallPending;
    private boolean isWritePending;
    private long version = StoreRequest.Put.ABSENT;
    private long retryAt = Long.MIN_VALUE;

    /** Meaning of a reply. */
    public enum Result {
        /** The object was read, or does not exist. */
        READ,
        /** The last content was written. */
        WRITTEN,
        /** The call failed, or its outcome is not known; the object is read again. */
        FAILED
    }

    /** Creates the state of a host that has not read the object with a key yet. */
    public StoredDocument(String key) {
        this.key = key;
    }

    /**
     * Returns the call that is due, null if none is.
     *
     * @param changed returns the content to write, null if there is nothing to write
     */
    public StoreRequest next(Supplier<byte[]> changed, long now) {
        if (isCallPending || now < retryAt) {
            return null;
        }
        if (!isRead) {
            isCallPending = true;
            return new StoreRequest.Read(key);
        }
        byte[] content = changed.get();
        if (content == null) {
            return null;
        }
        isCallPending = true;
        isWritePending = true;
        return new StoreRequest.Put(key, version, content);
    }

    /** Handles the reply to a call. */
    public Result onReply(StoreReply reply, long now) {
        boolean isWrite = isWritePending;
        isCallPending = false;
        isWritePending = false;
        boolean hasEffect = reply.outcome() == StoreOutcome.OK || !isWrite && reply.outcome() == StoreOutcome.ABSENT;
        if (!hasEffect || isWrite && !isRead) {
            // Another host has written, the outcome is not known, or the store was restored meanwhile.
            isRead = false;
            retryAt = reply.outcome() == StoreOutcome.CONFLICT ? now : now + RETRY_MILLIS;
            return Result.FAILED;
        }
        isRead = true;
        version = reply.outcome() == StoreOutcome.ABSENT ? StoreRequest.Put.ABSENT : reply.version();
        return isWrite ? Result.WRITTEN : Result.READ;
    }

    /** Handles a restore of the store from an older copy, which may lack the object or have an older one. */
    public void onStoreRestored() {
        isRead = false;
    }
}
