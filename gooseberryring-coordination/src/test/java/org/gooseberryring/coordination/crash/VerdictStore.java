package org.gooseberryring.coordination.crash;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;

/** Store with one object, which may not respond for some time. */
final class VerdictStore {
    private byte[] content;
    private long version;
    private boolean down;

    void setDown(boolean isDown) {
        down = isDown;
    }

    StoreReply call(StoreRequest request) {
        if (down) {
            return new StoreReply(request.key(), StoreOutcome.UNAVAILABLE, 0, null);
        }
        if (request instanceof StoreRequest.Put put) {
            if (put.expectedVersion() != version) {
                return new StoreReply(request.key(), StoreOutcome.CONFLICT, version, null);
            }
            content = put.value();
            return new StoreReply(request.key(), StoreOutcome.OK, ++version, null);
        }
        StoreOutcome outcome = content == null ? StoreOutcome.ABSENT : StoreOutcome.OK;
        return new StoreReply(request.key(), outcome, version, content);
    }
}
