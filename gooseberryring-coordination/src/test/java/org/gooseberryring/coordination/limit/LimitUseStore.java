package org.gooseberryring.coordination.limit;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;

/** Store with one object, which keeps the excess of organisations as text and counts the calls. */
final class LimitUseStore implements LimitUseCodec {
    private byte[] content;
    private long version;
    private int writes;

    /** Returns the number of writes that had an effect. */
    int writes() {
        return writes;
    }

    StoreReply call(StoreRequest request) {
        if (request instanceof StoreRequest.Put put) {
            if (put.expectedVersion() != version) {
                return new StoreReply(put.key(), StoreOutcome.CONFLICT, version, null);
            }
            content = put.value();
            version++;
            writes++;
            return new StoreReply(put.key(), StoreOutcome.OK, version, null);
        }
        StoreOutcome outcome = content == null ? StoreOutcome.ABSENT : StoreOutcome.OK;
        return new StoreReply(request.key(), outcome, version, content);
    }

    @Override
    public byte[] encode(Map<String, Long> tokens) {
        StringBuilder text = new StringBuilder();
        new TreeMap<>(tokens).forEach((organisation, each) -> text.append(organisation + "=" + each + ";"));
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public Map<String, Long> decode(byte[] bytes) {
        Map<String, Long> tokens = new TreeMap<>();
        for (String each : new String(bytes, StandardCharsets.UTF_8).split(";")) {
            int end = each.indexOf('=');
            if (end > 0) {
                tokens.put(each.substring(0, end), Long.parseLong(each.substring(end + 1)));
            }
        }
        return tokens;
    }
}
