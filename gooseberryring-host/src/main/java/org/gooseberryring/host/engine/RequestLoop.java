package org.gooseberryring.host.engine;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestEngine;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.host.ring.EventRing;

/** Runs the request engine and its limiter on the request thread and passes on the resulting effects. */
public final class RequestLoop implements AutoCloseable {
    private final RequestEngine engine;
    private final LimiterInputs limiter;
    private final Consumer<RequestEffect> effects;
    private final LongSupplier clock;
    private final EventRing<RequestInput> ring;

    /**
     * Creates a loop without starting it.
     *
     * @param ringSize number of slots, a power of two
     * @param engine engine to which the loop applies inputs
     * @param limiter limiter of the engine, which runs on the same thread
     * @param effects carries out effects on the request thread; must not block
     * @param clock monotonic time in milliseconds
     */
    public RequestLoop(
            int ringSize,
            RequestEngine engine,
            LimiterInputs limiter,
            Consumer<RequestEffect> effects,
            LongSupplier clock) {
        this.engine = engine;
        this.limiter = limiter;
        this.effects = effects;
        this.clock = clock;
        this.ring = new EventRing<>("requests", ringSize, this::apply);
    }

    public RequestLoop start() {
        ring.start();
        return this;
    }

    /** Queues a new request; returns false if the ring is too full for new work. */
    public boolean arrived(RequestSpec spec) {
        return ring.offerNew((e, now) -> e.arrived(spec, now));
    }

    /** Queues a request relayed from another failure domain; returns false if the ring is too full for new work. */
    public boolean relayed(RequestSpec spec) {
        return ring.offerNew((e, now) -> e.relayed(spec, now));
    }

    public void onResponseStarted(String requestId, int attempt) {
        ring.put((e, now) -> e.onResponseStarted(requestId, attempt, now));
    }

    public void attemptEnded(String requestId, int attempt, AttemptOutcome outcome) {
        ring.put((e, now) -> e.attemptEnded(requestId, attempt, outcome, now));
    }

    public void callerGone(String requestId) {
        ring.put((e, now) -> e.callerGone(requestId, now));
    }

    public void exchangeEnded(String requestId) {
        ring.put((e, now) -> e.exchangeEnded(requestId));
    }

    /** Queues a timer tick; skipped when the ring is full. */
    public void tick() {
        ring.offer((e, now) -> {
            limiter.tick(now);
            return e.tick(now);
        });
    }

    /** Runs a task on the request thread after all events queued before it. */
    public void after(Runnable task) {
        ring.put((e, now) -> {
            task.run();
            return List.of();
        });
    }

    /** Queues an event that must not be lost; blocks while the ring is full. */
    public void put(RequestInput input) {
        ring.put(input);
    }

    /** Queues an event that is repeated regularly; skipped when the ring is full. */
    public void offer(RequestInput input) {
        ring.offer(input);
    }

    /** Queues an event; returns false if the ring is full. */
    public boolean tryPut(RequestInput input) {
        return ring.offer(input);
    }

    public long depth() {
        return ring.depth();
    }

    @Override
    public void close() {
        ring.close();
    }

    private void apply(RequestInput input) {
        long now = clock.getAsLong();
        input.apply(engine, now).forEach(effects);
        limiter.settle(engine, effects, now);
    }
}
