package org.gooseberryring.coordination.request;

import java.util.List;
import java.util.function.Predicate;

import org.gooseberryring.coordination.queue.QueueOffer;
import org.gooseberryring.state.FleetConfiguration;

/** Bounded queue of requests that wait for an endpoint. */
public interface RequestQueue {
    /**
     * Adds a request, or rejects it with a retry delay.
     *
     * @param startBy monotonic time in milliseconds after which the request is not to be started any more
     * @param isolated whether the request may have to wait without blocking others for its target
     */
    QueueOffer<RequestSpec> offer(RequestSpec spec, long startBy, boolean isolated, long now);

    /** Removes and returns the next request in the fair order that can run now, or null. */
    RequestSpec poll(long now, Predicate<RequestSpec> canRun);

    /** Removes and returns the requests that can no longer meet their deadline. */
    List<RequestSpec> expire(long now);

    /** Removes a request that is no longer needed. */
    void remove(RequestSpec spec);

    /** Applies the weights of a configuration. */
    void configured(FleetConfiguration configuration);
}
