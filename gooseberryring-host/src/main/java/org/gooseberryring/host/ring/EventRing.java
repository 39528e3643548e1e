package org.gooseberryring.host.ring;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.InsufficientCapacityException;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import org.gooseberryring.host.log.LogLine;
import org.jboss.logging.Logger;

/**
 * Bounded ring buffer with several producers and one consuming thread.
 *
 * @param <T> type of the messages
 */
public final class EventRing<T> implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(EventRing.class);
    private static final int STOP_TIMEOUT_SECONDS = 5;

    private final String name;
    private final Disruptor<Slot<T>> disruptor;
    private final RingBuffer<Slot<T>> ring;

    /**
     * Creates a ring without starting its thread.
     *
     * @param name name of the consuming thread
     * @param size number of slots, a power of two
     * @param consumer handles each message on the consuming thread
     */
    public EventRing(String name, int size, Consumer<T> consumer) {
        this.name = name;
        this.disruptor =
                new Disruptor<>(Slot::new, size, r -> thread(name, r), ProducerType.MULTI, new BlockingWaitStrategy());
        disruptor.handleEventsWith((slot, sequence, endOfBatch) -> {
            T value = slot.value;
            slot.value = null;
            consumer.accept(value);
        });
        disruptor.setDefaultExceptionHandler(new LoggingHandler());
        this.ring = disruptor.getRingBuffer();
    }

    /** Starts the consuming thread. */
    public EventRing<T> start() {
        disruptor.start();
        return this;
    }

    /** Adds a message if a slot is free; returns false if the ring is full. */
    public boolean offer(T message) {
        try {
            long sequence = ring.tryNext();
            publish(sequence, message);
            return true;
        } catch (InsufficientCapacityException e) {
            return false;
        }
    }

    /**
     * Adds a message if at least half of the slots are free.
     *
     * <p>Used for new work, so that slots remain free for messages that complete work.
     */
    public boolean offerNew(T message) {
        return ring.remainingCapacity() > ring.getBufferSize() / 2 && offer(message);
    }

    /** Adds a message that must not be lost; blocks while the ring is full. */
    public void put(T message) {
        publish(ring.next(), message);
    }

    /** Returns the number of queued messages. */
    public long depth() {
        return ring.getBufferSize() - ring.remainingCapacity();
    }

    public String name() {
        return name;
    }

    /** Stops without handling the queued messages, because the consumer may be blocked in a long call. */
    public void halt() {
        disruptor.halt();
    }

    @Override
    public void close() {
        try {
            disruptor.shutdown(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            disruptor.halt();
        }
    }

    private void publish(long sequence, T message) {
        ring.get(sequence).value = message;
        ring.publish(sequence);
    }

    private static Thread thread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    private static final class Slot<T> {
        private T value;
    }

    /** Keeps the thread running after a message fails; the default handler would terminate it. */
    private final class LoggingHandler implements ExceptionHandler<Slot<T>> {
        @Override
        public void handleEventException(Throwable e, long sequence, Slot<T> slot) {
            LogLine.event("ring-failure").with("ring", name).error(LOG, new IllegalStateException(e));
        }

        @Override
        public void handleOnStartException(Throwable e) {
            handleEventException(e, 0, null);
        }

        @Override
        public void handleOnShutdownException(Throwable e) {
            handleEventException(e, 0, null);
        }
    }
}
