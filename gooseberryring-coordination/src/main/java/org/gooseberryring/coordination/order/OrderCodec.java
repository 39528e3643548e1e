package org.gooseberryring.coordination.order;

/** Converts the documents of this package to bytes and back. */
public interface OrderCodec {
    /** Serializes a document. */
    byte[] encode(StampedDocument document);

    /** Parses a document. */
    <D extends StampedDocument> D decode(byte[] bytes, Class<D> type);
}
