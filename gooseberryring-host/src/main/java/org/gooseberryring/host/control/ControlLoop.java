package org.gooseberryring.host.control;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import org.gooseberryring.host.ring.EventRing;

/** Event loop of the control thread, which runs everything that hosts agree on or that the store contains. */
public final class ControlLoop implements AutoCloseable {
    private final EventRing<LongConsumer> ring;
    private final List<LongConsumer> tickers = new CopyOnWriteArrayList<>();

    /**
     * Creates a loop that is not started yet.
     *
     * @param ringSize slots, a power of two
     * @param clock monotonic milliseconds
     */
    public ControlLoop(int ringSize, LongSupplier clock) {
        this.ring = new EventRing<>("control", ringSize, event -> event.accept(clock.getAsLong()));
    }

    public ControlLoop start() {
        ring.start();
        return this;
    }

    /** Adds a ticker that is called with the current time at every tick. */
    public void onTick(LongConsumer ticker) {
        tickers.add(ticker);
    }

    /** Calls the tickers; the tick is skipped if the ring is full. */
    public void tick() {
        ring.offer(now -> tickers.forEach(ticker -> ticker.accept(now)));
    }

    /** Adds an event that must not be lost, such as a reply of the store; waits if the ring is full. */
    public void put(LongConsumer event) {
        ring.put(event);
    }

    /**
     * Adds an event that its sender repeats if it is lost, such as a message of a peer.
     *
     * @return false if fewer than half of the slots are free
     */
    public boolean offer(LongConsumer event) {
        return ring.offerNew(event);
    }

    public long depth() {
        return ring.depth();
    }

    @Override
    public void close() {
        ring.close();
    }
}
