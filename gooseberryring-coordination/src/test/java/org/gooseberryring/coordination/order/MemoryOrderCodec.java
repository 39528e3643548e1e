package org.gooseberryring.coordination.order;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Codec for tests that stores the documents in memory and encodes them as their index. */
final class MemoryOrderCodec implements OrderCodec {
    private final List<StampedDocument> documents = new ArrayList<>();

    @Override
    public byte[] encode(StampedDocument document) {
        documents.add(document);
        return ByteBuffer.allocate(Integer.BYTES).putInt(documents.size() - 1).array();
    }

    @Override
    public <D extends StampedDocument> D decode(byte[] bytes, Class<D> type) {
        return type.cast(documents.get(ByteBuffer.wrap(bytes).getInt()));
    }
}
