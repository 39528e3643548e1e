package org.gooseberryring.coordination.request;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.gooseberryring.state.FleetConfiguration;

/** Queue in order of arrival, without shares or classes. */
public final class FifoRequestQueue implements RequestQueue {
    private final int capacity;
    private final Map<String, RequestSpec> waiting = new LinkedHashMap<>();

    public FifoRequestQueue(int capacity) {
        this.capacity = capacity;
    }

    @Override
    public boolean offer(RequestSpec spec, long now) {
        if (waiting.size() >= capacity) {
            return false;
        }
        waiting.put(spec.id(), spec);
        return true;
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
