package org.gooseberryring.coordination.limit;

/** Converts the quota document to and from the bytes in the store. */
public interface QuotaCodec {
    /** Serializes a document. */
    byte[] encode(QuotaDocument document);

    /** Parses a document. */
    QuotaDocument decode(byte[] bytes);
}
