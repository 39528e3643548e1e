package org.gooseberryring.coordination.store;

/**
 * Revision of the store together with its epoch.
 *
 * <p>The epoch increases each time the store is restored from an older copy. The store then reuses the revisions after the
 * copy for other contents, so that revisions of different epochs must not be compared.
 *
 * @param epoch epoch of the store, {@link #NO_EPOCH} if it reports none
 * @param revision revision within the epoch
 */
public record StorePosition(long epoch, long revision) {
    /** Epoch of a store that reports none. */
    public static final long NO_EPOCH = 0;

    /** Position before the first response of the store. */
    public static final StorePosition START = new StorePosition(NO_EPOCH, 0);

    /** Returns whether this position is in the same epoch as the other one and not before it. */
    public boolean hasReached(StorePosition other) {
        return epoch == other.epoch && revision >= other.revision;
    }

    @Override
    public String toString() {
        return epoch + "/" + revision;
    }
}
