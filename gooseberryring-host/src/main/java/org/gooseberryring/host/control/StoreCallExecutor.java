package org.gooseberryring.host.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.host.ring.EventRing;
import org.gooseberryring.transport.store.ObjectStore;

/** Executes store calls in order per object, on several threads so that one slow object does not delay the others. */
public final class StoreCallExecutor implements AutoCloseable {
    private static final int THREAD_COUNT = 4;

    private final ObjectStore store;
    private final List<EventRing<Call>> queues = new ArrayList<>();

    /** Creates the queues and starts their threads; {@code ringSize} is the number of calls that each queue can hold. */
    public StoreCallExecutor(ObjectStore store, int ringSize) {
        this.store = store;
        for (int i = 0; i < THREAD_COUNT; i++) {
            queues.add(new EventRing<Call>("store-" + i, ringSize, this::execute).start());
        }
    }

    /**
     * Queues a call; the reply is delivered on a store thread.
     *
     * @param reply receives the reply; UNAVAILABLE immediately if the queue is full
     */
    public void submit(StoreRequest request, Consumer<StoreReply> reply) {
        EventRing<Call> queue = queues.get(Math.floorMod(request.key().hashCode(), THREAD_COUNT));
        if (!queue.offer(new Call(request, reply))) {
            reply.accept(new StoreReply(request.key(), StoreOutcome.UNAVAILABLE, 0, null));
        }
    }

    /** Returns the number of queued calls. */
    public long depth() {
        return queues.stream().mapToLong(EventRing::depth).sum();
    }

    @Override
    public void close() {
        queues.forEach(EventRing::close);
    }

    private void execute(Call call) {
        StoreReply reply = call.request instanceof StoreRequest.Put put
                ? store.put(put.key(), put.expectedVersion(), put.value())
                : store.read(call.request.key());
        call.reply.accept(reply);
    }

    private record Call(StoreRequest request, Consumer<StoreReply> reply) {}
}
