package org.gooseberryring.coordination.store;

/** Call to the platform's object store that a decision component requests. */
public sealed interface StoreRequest {
    /** Returns the key of the object. */
    String key();

    /**
     * Reads an object.
     *
     * @param key key of the object
     */
    record Read(String key) implements StoreRequest {}

    /**
     * Writes an object if it has the expected version.
     *
     * @param key key of the object
     * @param expectedVersion version that the object must have, or {@link #ABSENT} if it must not exist
     * @param value new content, at most 1,000,000 bytes
     */
    record Put(String key, long expectedVersion, byte[] value) implements StoreRequest {
        /** Expected version of an object that must not exist yet. */
        public static final long ABSENT = 0;
    }
}
