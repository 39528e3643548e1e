package org.gooseberryring.host.engine;

import java.util.List;

import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestEngine;

/** Input of the request engine: one event, applied on the request thread. */
@FunctionalInterface
public interface RequestInput {
    /**
     * Applies the event.
     *
     * @param engine engine to apply it to
     * @param now monotonic time in milliseconds
     * @return effects that the engine asks for
     */
    List<RequestEffect> apply(RequestEngine engine, long now);
}
