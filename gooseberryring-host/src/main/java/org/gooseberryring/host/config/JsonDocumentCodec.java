package org.gooseberryring.host.config;

import org.gooseberryring.coordination.config.AuditPage;
import org.gooseberryring.coordination.config.DocumentCodec;
import org.gooseberryring.coordination.config.HeadDocument;
import org.gooseberryring.protocol.Json;

/** Encodes the configuration and the audit pages as JSON. */
public final class JsonDocumentCodec implements DocumentCodec {
    @Override
    public byte[] encodeHead(HeadDocument document) {
        return Json.write(document);
    }

    @Override
    public HeadDocument decodeHead(byte[] bytes) {
        return Json.read(bytes, HeadDocument.class);
    }

    @Override
    public byte[] encodePage(AuditPage page) {
        return Json.write(page);
    }

    @Override
    public AuditPage decodePage(byte[] bytes) {
        return Json.read(bytes, AuditPage.class);
    }

    @Override
    public String describe(Object value) {
        return Json.writeString(value);
    }
}
