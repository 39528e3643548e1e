package org.gooseberryring.coordination.limit;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;

/** Object store for one document with conditional writes, outages and lost replies. */
final class FakeQuotaStore implements QuotaCodec {
    /** Result of a call to the store. */
    enum Mode {
        UP,
        DOWN,
        REPLY_LOST_AFTER_EFFECT,
        REPLY_LOST_WITHOUT_EFFECT
    }

    private final List<QuotaDocument> encoded = new ArrayList<>();
    private QuotaDocument document;
    private long version;

    QuotaDocument document() {
        return document == null ? QuotaDocument.empty() : document;
    }

    StoreReply call(StoreRequest request, Mode mode) {
        if (mode == Mode.DOWN) {
            return new StoreReply(request.key(), StoreOutcome.UNAVAILABLE, 0, null);
        }
        if (mode == Mode.REPLY_LOST_WITHOUT_EFFECT) {
            return new StoreReply(request.key(), StoreOutcome.UNKNOWN, 0, null);
        }
        StoreReply reply = request instanceof StoreRequest.Put put ? put(put) : read(request.key());
        return mode == Mode.UP ? reply : new StoreReply(request.key(), StoreOutcome.UNKNOWN, 0, null);
    }

    @Override
    public byte[] encode(QuotaDocument value) {
        encoded.add(value);
        return Integer.toString(encoded.size() - 1).getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public QuotaDocument decode(byte[] bytes) {
        return encoded.get(Integer.parseInt(new String(bytes, StandardCharsets.US_ASCII)));
    }

    private StoreReply read(String key) {
        return document == null
                ? new StoreReply(key, StoreOutcome.ABSENT, 0, null)
                : new StoreReply(key, StoreOutcome.OK, version, encode(document));
    }

    private StoreReply put(StoreRequest.Put put) {
        if (put.expectedVersion() != version) {
            return new StoreReply(put.key(), StoreOutcome.CONFLICT, version, null);
        }
        document = decode(put.value());
        version++;
        return new StoreReply(put.key(), StoreOutcome.OK, version, null);
    }
}
