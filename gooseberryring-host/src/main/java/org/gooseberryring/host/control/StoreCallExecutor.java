package org.gooseberryring.host.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.host.ring.EventRing;
import org.gooseberryring.transport.store.ObjectStore;

/** Makes store calls in order per object, on a few threads so that one slow object does not hold up the others. */
public final class StoreCallExecutor implements AutoCloseable {
    private static final int LANES = 4;

    private final ObjectStore store;
    private final List<EventRing<Call>> lanes = new ArrayList<>();

    /** Creates the lanes and starts their threads; {@code ringSize} is the number of calls that may wait in each. */
    public StoreCallExecutor(ObjectStore store, int ringSize) {
        this.store = store;
        for (int i = 0; i < LANES; i++) {
            lanes.add(new EventRing<Call>("store-" + i, ringSize, this::make).start());
        }
    }

    /**
     * Makes a call; the reply is handed over on a store thread.
     *
     * @param reply takes the reply; UNAVAILABLE at once if too many calls wait
     */
    public void submit(StoreRequest request, Consumer<StoreReply> reply) {
        EventRing<Call> lane = lanes.get(Math.floorMod(request.key().hashCode(), LANES));
        if (!lane.offer(new Call(request, reply))) {
            reply.accept(new StoreReply(request.key(), StoreOutcome.UNAVAILABLE, 0, null));
        }
    }

    /** Returns the number of calls that wait. */
    public long depth() {
        return lanes.stream().mapToLong(EventRing::depth).sum();
    }

    @Override
    public void close() {
        lanes.forEach(EventRing::close);
    }

    private void make(Call call) {
        StoreReply reply = call.request instanceof StoreRequest.Put put
                ? store.put(put.key(), put.expectedVersion(), put.value())
                : store.read(call.request.key());
        call.reply.accept(reply);
    }

    private record Call(StoreRequest request, Consumer<StoreReply> reply) {}
}
