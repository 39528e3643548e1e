package org.gooseberryring.host;

import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import org.gooseberryring.coordination.crash.CrashingParts;
import org.gooseberryring.coordination.limit.TokenMessage;
import org.gooseberryring.coordination.limit.TokenPool;
import org.gooseberryring.coordination.queue.QueueSettings;
import org.gooseberryring.coordination.request.FairRequestQueue;
import org.gooseberryring.coordination.request.FleetUpdateHandler;
import org.gooseberryring.coordination.request.RequestEngine;
import org.gooseberryring.coordination.request.RequestQueue;
import org.gooseberryring.coordination.retry.CrashSuspects;
import org.gooseberryring.coordination.retry.RetryBudget;
import org.gooseberryring.coordination.retry.RetryPolicy;
import org.gooseberryring.coordination.route.Router;
import org.gooseberryring.coordination.stream.StreamVersions;
import org.gooseberryring.host.caller.CallerEffects;
import org.gooseberryring.host.engine.FleetInputs;
import org.gooseberryring.host.engine.RequestCredits;
import org.gooseberryring.host.engine.RequestLoop;
import org.gooseberryring.host.engine.TokenPoolInputs;

/** Components of a host that process a request from its arrival to its response. */
final class RequestPath {
    private final RequestLoop loop;
    private final TokenPoolInputs tokenPool;
    private final FleetInputs fleet;

    /**
     * Creates the components without starting the request loop.
     *
     * @param failureDomain failure domain of the host
     * @param tokenPool token pool of the host
     * @param messages sends a message of the token pool to the given host, which may be this one
     * @param credits concurrency credits of the host
     * @param effects carries out the effects that the engine returns
     * @param limits limits of the request thread
     * @param seed seed of the random choice between endpoints
     * @param clock monotonic time in milliseconds
     */
    RequestPath(
            String failureDomain,
            TokenPool tokenPool,
            BiConsumer<String, TokenMessage> messages,
            RequestCredits credits,
            CallerEffects effects,
            Limits limits,
            long seed,
            LongSupplier clock) {
        Router router = new Router(failureDomain, new Random(seed), credits.source());
        RequestQueue queue = new FairRequestQueue(QueueSettings.defaults());
        // Requests of the product's own interface name no prompt parts, so nothing is detected.
        CrashingParts parts = new CrashingParts(failureDomain);
        RequestEngine engine = new RequestEngine(
                tokenPool,
                queue,
                router,
                new RetryPolicy(new RetryBudget()),
                new CrashSuspects(),
                parts,
                new StreamVersions(),
                limits.maxRunMillis());
        FleetUpdateHandler fleetUpdates = new FleetUpdateHandler(engine, router, queue);
        this.tokenPool = new TokenPoolInputs(tokenPool, messages);
        this.loop = new RequestLoop(limits.ringSize(), engine, this.tokenPool, effects, clock);
        this.fleet = new FleetInputs(loop, fleetUpdates, this.tokenPool);
        this.tokenPool.connect(loop);
        effects.connect(loop);
        credits.connect(loop, fleetUpdates);
    }

    RequestLoop loop() {
        return loop;
    }

    TokenPoolInputs tokenPool() {
        return tokenPool;
    }

    FleetInputs fleet() {
        return fleet;
    }

    /**
     * Limits of the request thread.
     *
     * @param ringSize number of slots of the event ring, a power of two
     * @param maxRunMillis longest time that an attempt may run, in milliseconds
     */
    record Limits(int ringSize, long maxRunMillis) {}
}
