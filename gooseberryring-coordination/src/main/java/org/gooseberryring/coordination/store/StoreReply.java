package org.gooseberryring.coordination.store;

/**
 * Reply to a {@link StoreRequest}.
 *
 * @param key key of the object
 * @param outcome what became of the call
 * @param version present version if the outcome is OK or CONFLICT and it is known, otherwise 0
 * @param value content read, or null
 * @param epoch epoch of the store in which the version counts; of no meaning if the store did not answer
 */
public record StoreReply(String key, StoreOutcome outcome, long version, byte[] value, long epoch) {
    /** Creates the reply of a store that states no epoch, or that did not answer. */
    public StoreReply(String key, StoreOutcome outcome, long version, byte[] value) {
        this(key, outcome, version, value, StorePosition.NO_EPOCH);
    }

    /** Returns whether the store answered and shows the state of the object, so that the epoch counts. */
    public boolean hasObjectState() {
        return outcome == StoreOutcome.OK || outcome == StoreOutcome.ABSENT || outcome == StoreOutcome.CONFLICT;
    }
}
