package org.gooseberryring.coordination.request;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.gooseberryring.coordination.queue.QueueOffer;
import org.gooseberryring.state.FleetConfiguration;

/** Queue in order of arrival, without shares or classes. */
public final class FifoRequestQueue implements RequestQueue {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final int capacity;
    private final Map<String, RequestSpec> waiting = new LinkedHashMap<>();

    public FifoRequestQueue(int capacity) {
        this.capacity = capacity;
    }

    @Override
    public QueueOffer<RequestSpec> offer(RequestSpec spec, boolean apart, long now) {
        if (waiting.size() >= capacity) {
            return new QueueOffer<>(QueueOffer.Kind.FULL, RETRY_AFTER_MILLIS, List.of());
        }
        waiting.put(spec.id(), spec);
        return new QueueOffer<>(QueueOffer.Kind.ACCEPTED, 0, List.of());
    }

    @Override
    public RequestSpec poll(long now, Predicate<RequestSpec> canRun) {
        Iterator<RequestSpec> specs = waiting.values().iterator();
        while (specs.hasNext()) {
            RequestSpec spec = specs.next();
            if (canRun.test(spec)) {
                specs.remove();
                return spec;
            }
        }
        return null;
    }

    @Override
    public List<RequestSpec> expire(long now) {
        List<RequestSpec> expired = new ArrayList<>();
        waiting.values().forEach(spec -> {
            if (spec.deadline() <= now) {
                expired.add(spec);
            }
        });
        expired.forEach(spec -> waiting.remove(spec.id()));
        return expired;
    }

    @Override
    public void remove(RequestSpec spec) {
        waiting.remove(spec.id());
    }

    @Override
    public void configured(FleetConfiguration configuration) {
        // The order of arrival does not depend on the configuration.
    }
}
