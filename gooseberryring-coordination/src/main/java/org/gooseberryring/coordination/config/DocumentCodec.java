package org.gooseberryring.coordination.config;

/** Converts documents of the store to bytes and back. */
public interface DocumentCodec {
    /** Serializes the head document. */
    byte[] encodeHead(HeadDocument document);

    /** Parses the head document. */
    HeadDocument decodeHead(byte[] bytes);

    /** Serializes an audit page. */
    byte[] encodePage(AuditPage page);

    /** Parses an audit page. */
    AuditPage decodePage(byte[] bytes);

    /** Returns the text of a configuration value for an audit record. */
    String describe(Object value);
}
