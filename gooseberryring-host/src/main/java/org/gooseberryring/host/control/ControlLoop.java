package org.gooseberryring.host.control;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.host.ring.EventRing;
import org.jboss.logging.Logger;

/**
 * Event loop of the control thread, which runs everything that hosts agree on or that the store contains.
 *
 * <p>What the store contains is handled before all other queued events. A relay handles hundreds of messages a second,
 * which may wait for longer than a change of the store may.
 */
public final class ControlLoop implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ControlLoop.class);

    /** Delay of a tick from which on it is logged. */
    private static final long LOGGED_DELAY_MILLIS = 300;

    /** Minimum interval between two log lines on delays. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final EventRing<LongConsumer> ring;
    private final LongSupplier clock;
    private final List<LongConsumer> tickers = new CopyOnWriteArrayList<>();
    private final List<LongConsumer> storeTickers = new CopyOnWriteArrayList<>();
    private final Queue<LongConsumer> storeEvents = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean storeTickQueued = new AtomicBoolean();
    private volatile long delayMillis;
    private long loggedAt = Long.MIN_VALUE / 2;

    /**
     * Creates a loop that is not started yet.
     *
     * @param ringSize slots, a power of two
     * @param clock monotonic milliseconds
     */
    public ControlLoop(int ringSize, LongSupplier clock) {
        this.clock = clock;
        this.ring = new EventRing<>("control", ringSize, this::handle);
    }

    public ControlLoop start() {
        ring.start();
        return this;
    }

    /** Adds a ticker that is called with the current time at every tick. */
    public void onTick(LongConsumer ticker) {
        tickers.add(ticker);
    }

    /** Adds a ticker that is called at every tick before all other queued events. */
    public void onStoreTick(LongConsumer ticker) {
        storeTickers.add(ticker);
    }

    /** Calls the tickers; the tick of the other tickers is skipped if the ring is full. */
    public void tick() {
        if (storeTickQueued.compareAndSet(false, true)) {
            putStoreEvent(now -> {
                storeTickQueued.set(false);
                storeTickers.forEach(ticker -> ticker.accept(now));
            });
        }
        long queuedAt = now();
        ring.offer(now -> {
            recordDelay(now - queuedAt, now);
            tickers.forEach(ticker -> ticker.accept(now));
        });
    }

    /** Returns the monotonic time in milliseconds. */
    public long now() {
        return clock.getAsLong();
    }

    /** Returns how long the last tick waited in the queue, in milliseconds. */
    public long delayMillis() {
        return delayMillis;
    }

    private void handle(LongConsumer event) {
        LongConsumer first = storeEvents.poll();
        while (first != null) {
            runStoreEvent(first);
            first = storeEvents.poll();
        }
        event.accept(now());
    }

    /** Runs an event; its failure must not prevent the events behind it. */
    private void runStoreEvent(LongConsumer event) {
        try {
            event.accept(now());
        } catch (RuntimeException e) {
            LogLine.event("store-event-failed").error(LOG, e);
        }
    }

    private void recordDelay(long millis, long now) {
        delayMillis = millis;
        if (millis >= LOGGED_DELAY_MILLIS && now - loggedAt >= LOG_INTERVAL_MILLIS) {
            loggedAt = now;
            LogLine.event("control-thread-late")
                    .with("ms", millis)
                    .with("depth", depth())
                    .info(LOG);
        }
    }

    /** Adds an event that must not be lost, such as a reply of the store; waits if the ring is full. Returns true as an offer does. */
    public boolean put(LongConsumer event) {
        ring.put(event);
        return true;
    }

    /**
     * Adds an event with a state of the store, which is handled before all other queued events. There are few of them: a
     * collection has two open calls at most.
     */
    public void putStoreEvent(LongConsumer event) {
        storeEvents.add(event);
        // Wakes the thread up; a full ring is being handled.
        ring.offer(now -> {});
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
