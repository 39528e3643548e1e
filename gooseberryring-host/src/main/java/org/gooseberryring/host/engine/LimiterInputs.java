package org.gooseberryring.host.engine;

import java.util.function.Consumer;

import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestEngine;

/** Limiter that runs on the request thread together with the engine that uses it. */
public interface LimiterInputs {
    /** Processes timers that are due at the given monotonic time in milliseconds. */
    void tick(long now);

    /** Delivers pending decisions to the engine; called after each input of the engine. */
    void settle(RequestEngine engine, Consumer<RequestEffect> effects, long now);
}
