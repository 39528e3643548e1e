package org.gooseberryring.coordination.stream;

/** Converts a table of streams to the content of a store object. */
@FunctionalInterface
public interface StreamTableCodec {
    /** Encodes a table. */
    byte[] encode(StreamTable table);
}
