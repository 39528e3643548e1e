package org.gooseberryring.host.control;

import org.gooseberryring.coordination.limit.QuotaCodec;
import org.gooseberryring.coordination.limit.QuotaDocument;
import org.gooseberryring.protocol.Json;

/** Encodes the quotas as JSON. */
public final class JsonQuotaCodec implements QuotaCodec {
    @Override
    public byte[] encode(QuotaDocument document) {
        return Json.write(document);
    }

    @Override
    public QuotaDocument decode(byte[] bytes) {
        return Json.read(bytes, QuotaDocument.class);
    }
}
