package org.gooseberryring.coordination.order;

/**
 * Document in the store that contains the stamp of the write that produced it. The stamp resolves writes with an
 * unknown outcome.
 */
public interface StampedDocument {
    /** Returns the write stamp, which is unique across all writers. */
    String stamp();
}
