package org.gooseberryring.host.engine;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.gooseberryring.coordination.limit.LimitEffect;
import org.gooseberryring.coordination.limit.TokenMessage;
import org.gooseberryring.coordination.limit.TokenWallet;
import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestEngine;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.host.ring.EventRing;
import org.gooseberryring.state.FleetConfiguration;

/** Runs the request engine and the token wallet on the request thread and hands their effects on. */
public final class RequestLoop implements AutoCloseable {
    private final RequestEngine engine;
    private final TokenWallet wallet;
    private final Consumer<RequestEffect> effects;
    private final BiConsumer<String, TokenMessage> tokenMessages;
    private final LongSupplier clock;
    private final EventRing<RequestInput> ring;

    /**
     * Creates a loop that is not started yet.
     *
     * @param ringSize slots, a power of two
     * @param engine engine that admits requests from the wallet
     * @param effects carries out effects, on the request thread, without blocking
     * @param tokenMessages sends a message of the wallet to the named host, which may be this one
     * @param clock monotonic milliseconds
     */
    public RequestLoop(
            int ringSize,
            RequestEngine engine,
            TokenWallet wallet,
            Consumer<RequestEffect> effects,
            BiConsumer<String, TokenMessage> tokenMessages,
            LongSupplier clock) {
        this.engine = engine;
        this.wallet = wallet;
        this.effects = effects;
        this.tokenMessages = tokenMessages;
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

    /** Hands over a request that a host of another failure domain sent; returns false if the ring is too full. */
    public boolean relayed(RequestSpec spec) {
        return ring.offerNew((e, now) -> e.relayed(spec, now));
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

    /** Takes over a configuration. */
    public void configured(FleetConfiguration configuration) {
        ring.put((e, now) -> {
            wallet.configure(configuration.organisations(), now);
            return e.configured(configuration, now);
        });
    }

    /** Takes over the keepers of an organisation, nearest first. */
    public void keepers(String organisation, List<String> nearestFirst) {
        ring.put((e, now) -> {
            wallet.keepers(organisation, nearestFirst);
            return List.of();
        });
    }

    /** Takes a keeper's answer to a request for tokens. */
    public void granted(String sender, TokenMessage.Grant grant) {
        ring.put((e, now) -> {
            wallet.onGrant(sender, grant, now);
            return List.of();
        });
    }

    /** Returns all token batches to their keepers, as for a graceful shutdown. */
    public void releaseTokens() {
        ring.put((e, now) -> {
            wallet.release(now);
            return List.of();
        });
    }

    /** Lets time pass; left out when the ring is full. */
    public void tick() {
        ring.offer((e, now) -> {
            wallet.tick(now);
            return e.tick(now);
        });
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

    /** Hands over an event that is repeated soon; left out when the ring is full. */
    public void offer(RequestInput input) {
        ring.offer(input);
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
        List<LimitEffect> limitEffects = wallet.drain();
        while (!limitEffects.isEmpty()) {
            limitEffects.forEach(effect -> carryOut(effect, now));
            limitEffects = wallet.drain();
        }
    }

    private void carryOut(LimitEffect effect, long now) {
        if (effect instanceof LimitEffect.Send send) {
            tokenMessages.accept(send.host(), send.message());
        } else if (effect instanceof LimitEffect.Decided decided) {
            engine.admitted(decided.requestId(), decided.admission(), now).forEach(effects);
        }
    }
}
