package org.gooseberryring.transport.store;

import java.util.List;

import org.gooseberryring.coordination.store.StoreReply;

/** Object store with versions, conditional updates and watches; every call blocks. */
public interface ObjectStore {
    /** Reads an object. */
    StoreReply read(String key);

    /**
     * Writes an object if its version is still the expected one.
     *
     * @param expectedVersion version that the object must have, or 0 if it must not exist
     */
    StoreReply put(String key, long expectedVersion, byte[] value);

    /**
     * Waits until the version of an object differs from the given one.
     *
     * @param waitMillis maximum wait in milliseconds
     * @return the new content, or {@code CONFLICT} with the same version if nothing changed
     */
    StoreReply watch(String key, long afterVersion, long waitMillis);

    /**
     * Lists the keys with a prefix.
     *
     * @throws org.gooseberryring.state.GooseberryringException with code STORE_UNAVAILABLE if the call fails
     */
    List<String> list(String prefix);
}
