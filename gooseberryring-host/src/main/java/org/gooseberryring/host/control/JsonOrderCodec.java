package org.gooseberryring.host.control;

import org.gooseberryring.coordination.order.OrderCodec;
import org.gooseberryring.coordination.order.StampedDocument;
import org.gooseberryring.protocol.Json;

/** Encodes leases, ledgers and the load budget as JSON. */
public final class JsonOrderCodec implements OrderCodec {
    @Override
    public byte[] encode(StampedDocument document) {
        return Json.write(document);
    }

    @Override
    public <D extends StampedDocument> D decode(byte[] bytes, Class<D> type) {
        return Json.read(bytes, type);
    }
}
