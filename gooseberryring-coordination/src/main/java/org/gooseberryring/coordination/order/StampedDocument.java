package org.gooseberryring.coordination.order;

/** Document of the store that names the write which produced it, so that a lost answer can be resolved. */
public interface StampedDocument {
    /** Returns the identifier of the write, unique over all writers. */
    String stamp();
}
