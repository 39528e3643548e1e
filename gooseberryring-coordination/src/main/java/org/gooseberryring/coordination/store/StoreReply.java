package org.gooseberryring.coordination.store;

/**
 * Reply to a {@link StoreRequest}.
 *
 * @param key key of the object
 * @param outcome outcome of the call
 * @param version current version if the outcome is OK or CONFLICT and the version is known, otherwise 0
 * @param value content read, or null
 * @param epoch epoch of the store to which the version belongs; undefined if the store did not respond
 */
public record StoreReply(String key, StoreOutcome outcome, long version, byte[] value, long epoch) {
    /** Creates the reply of a store that reports no epoch or did not respond. */
    public StoreReply(String key, StoreOutcome outcome, long version, byte[] value) {
        this(key, outcome, version, value, StorePosition.NO_EPOCH);
    }

    /** Returns whether the store responded with the state of the object, so that the epoch is valid. */
    public boolean hasObjectState() {
        return outcome == StoreOutcome.OK || outcome == StoreOutcome.ABSENT || outcome == StoreOutcome.CONFLICT;
    }
}
