package org.gooseberryring.coordination.request;

import java.util.List;
import java.util.function.Predicate;

import org.gooseberryring.coordination.queue.QueueOffer;
import org.gooseberryring.state.FleetConfiguration;

/** Bounded queue of requests that wait for an endpoint. */
public interface RequestQueue {
    /**
     * Adds a request, or refuses it with a time to come back.
     *
     * @param apart whether the request may have to wait while others for its target go on
     */
    QueueOffer<RequestSpec> offer(RequestSpec spec, boolean apart, long now);

    /** Removes and returns the next request in the fair order that can run now, or null. */
    RequestSpec poll(long now, Predicate<RequestSpec> canRun);

    /** Removes and returns the requests that can no longer meet their deadline. */
    List<RequestSpec> expire(long now);

    /** Removes a request that is given up. */
    void remove(RequestSpec spec);

    /** Takes over the weights of a configuration. */
    void configured(FleetConfiguration configuration);
}
