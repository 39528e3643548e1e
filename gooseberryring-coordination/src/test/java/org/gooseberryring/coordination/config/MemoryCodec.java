package org.gooseberryring.coordination.config;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Codec for tests that keeps the documents in memory and encodes their indexes. */
final class MemoryCodec implements DocumentCodec {
    private final List<Object> documents = new ArrayList<>();

    @Override
    public byte[] encodeHead(HeadDocument document) {
        return encode(document);
    }

    @Override
    public HeadDocument decodeHead(byte[] bytes) {
        return (HeadDocument) decode(bytes);
    }

    @Override
    public byte[] encodePage(AuditPage page) {
        return encode(page);
    }

    @Override
    public AuditPage decodePage(byte[] bytes) {
        return (AuditPage) decode(bytes);
    }

    @Override
    public String describe(Object value) {
        return String.valueOf(value);
    }

    private byte[] encode(Object document) {
        documents.add(document);
        return ByteBuffer.allocate(Integer.BYTES).putInt(documents.size() - 1).array();
    }

    private Object decode(byte[] bytes) {
        return documents.get(ByteBuffer.wrap(bytes).getInt());
    }
}
