package org.gooseberryring.coordination.claim;

/** Converts shard documents to and from the bytes in the store. */
public interface ClaimCodec {
    /** Serializes a document. */
    byte[] encode(ClaimShardDocument document);

    /** Parses a document. */
    ClaimShardDocument decode(byte[] bytes);
}
