package org.gooseberryring.host.control;

import org.gooseberryring.coordination.claim.ClaimCodec;
import org.gooseberryring.coordination.claim.ClaimShardDocument;
import org.gooseberryring.protocol.Json;

/** Encodes the claims of a shard as JSON. */
public final class JsonClaimCodec implements ClaimCodec {
    @Override
    public byte[] encode(ClaimShardDocument document) {
        return Json.write(document);
    }

    @Override
    public ClaimShardDocument decode(byte[] bytes) {
        return Json.read(bytes, ClaimShardDocument.class);
    }
}
