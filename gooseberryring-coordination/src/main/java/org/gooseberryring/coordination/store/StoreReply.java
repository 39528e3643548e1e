package org.gooseberryring.coordination.store;

/**
 * Reply to a {@link StoreRequest}.
 *
 * @param key key of the object
 * @param outcome what became of the call
 * @param version present version if the outcome is OK or CONFLICT and it is known, otherwise 0
 * @param value content read, or null
 */
public record StoreReply(String key, StoreOutcome outcome, long version, byte[] value) {}
