package org.gooseberryring.host.engine;

import java.util.List;

import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestEngine;

/** Event for the request engine, applied on the request thread. */
@FunctionalInterface
public interface RequestInput {
    /**
     * Applies the event.
     *
     * @param engine engine to apply it to
     * @param now monotonic time in milliseconds
     * @return effects to carry out
     */
    List<RequestEffect> apply(RequestEngine engine, long now);
}
