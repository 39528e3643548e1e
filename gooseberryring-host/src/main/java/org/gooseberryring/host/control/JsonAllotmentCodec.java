package org.gooseberryring.host.control;

import org.gooseberryring.coordination.limit.AllotmentCodec;
import org.gooseberryring.coordination.limit.AllotmentDocument;
import org.gooseberryring.protocol.Json;

/** Keeps the allotments as JSON. */
public final class JsonAllotmentCodec implements AllotmentCodec {
    @Override
    public byte[] encode(AllotmentDocument document) {
        return Json.write(document);
    }

    @Override
    public AllotmentDocument decode(byte[] bytes) {
        return Json.read(bytes, AllotmentDocument.class);
    }
}
