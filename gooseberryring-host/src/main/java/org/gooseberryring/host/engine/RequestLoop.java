package org.gooseberryring.host.engine;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.host.ring.EventRing;

/** Runs the request engine on the request thread and hands its effects on. */
public final class RequestLoop implements AutoCloseable {
    private final RequestDecisions engine;
    private final Consumer<RequestEffect> effects;
    private final LongSupplier clock;
    private final EventRing<RequestInput> ring;

    /**
     * Creates a loop that is not started yet.
     *
     * @param ringSize slots, a power of two
     * @param effects carries out effects, on the request thread, without blocking
     * @param clock monotonic milliseconds
     */
    public RequestLoop(int ringSize, RequestDecisions engine, Consumer<RequestEffect> effects, LongSupplier clock) {
        this.engine = engine;
        this.effects = effects;
        this.clock = clock;
        this.ring = new EventRing<>("requests", ringSize, this::apply);
    }

    public RequestLoop start() {
        ring.start();
        return this;
    }

    /** Hands a new request to the engine; returns false if the ring is too full for new work. */
    public boolean arrived(RequestSpec spec) {
        return ring.offerNew((e, now) -> e.arrived(spec, now));
    }

    public void responseStarted(String requestId, int attempt) {
        ring.put((e, now) -> e.responseStarted(requestId, attempt, now));
    }

    public void attemptEnded(String requestId, int attempt, AttemptOutcome outcome) {
        ring.put((e, now) -> e.attemptEnded(requestId, attempt, outcome, now));
    }

    public void callerGone(String requestId) {
        ring.put((e, now) -> e.callerGone(requestId, now));
    }

    /** Runs a task on the request thread after everything handed over before. */
    public void after(Runnable task) {
        ring.put((e, now) -> {
            task.run();
            return List.of();
        });
    }

    /** Hands over any other event that must not be lost. */
    public void put(RequestInput input) {
        ring.put(input);
    }

    /** Hands over an event that may be left out when the ring is full, such as a tick. */
    public boolean offer(RequestInput input) {
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
        input.apply(engine, clock.getAsLong()).forEach(effects);
    }
}
