package org.gooseberryring.host.control;

import org.gooseberryring.protocol.Json;

/** Encodes the credit coordinators of a failure domain as JSON. */
final class JsonCreditCodec {
    byte[] encode(CreditDocument document) {
        return Json.write(document);
    }

    CreditDocument decode(byte[] bytes) {
        return Json.read(bytes, CreditDocument.class);
    }
}
