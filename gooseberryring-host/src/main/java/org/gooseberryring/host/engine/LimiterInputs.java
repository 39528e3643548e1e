package org.gooseberryring.host.engine;

import java.util.function.Consumer;

import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestEngine;

/** Limiter that shares the request thread with the engine that asks it. */
public interface LimiterInputs {
    /** Lets time pass. */
    void tick(long now);

    /** Hands decisions that were pending to the engine, after each of its inputs. */
    void settle(RequestEngine engine, Consumer<RequestEffect> effects, long now);
}
