package org.gooseberryring.coordination.limit;

/** Converts the allotments to and from the bytes kept in the store. */
public interface AllotmentCodec {
    /** Serializes a document. */
    byte[] encode(AllotmentDocument document);

    /** Parses a document. */
    AllotmentDocument decode(byte[] bytes);
}
