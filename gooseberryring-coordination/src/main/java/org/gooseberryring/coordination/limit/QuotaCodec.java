package org.gooseberryring.coordination.limit;

/** Converts the quotas to and from the bytes kept in the store. */
public interface QuotaCodec {
    /** Serializes a document. */
    byte[] encode(QuotaDocument document);

    /** Parses a document. */
    QuotaDocument decode(byte[] bytes);
}
