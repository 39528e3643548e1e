package org.gooseberryring.coordination.request;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.gooseberryring.coordination.queue.FairQueue;
import org.gooseberryring.coordination.queue.QueueItem;
import org.gooseberryring.coordination.queue.QueueOffer;
import org.gooseberryring.coordination.queue.QueueSettings;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.Organisation;

/** Queue of requests that is fair between the organisations of the configuration. */
public final class FairRequestQueue implements RequestQueue {
    /** Separate queue target of a request that may have to wait without blocking others for the same target. */
    private record IsolatedTarget(RequestTarget target, String digest) {}

    /** Requests on open routes are queued as one organisation of weight 1. */
    private static final String OPEN_ROUTE = "";

    private final FairQueue<RequestSpec> queue;
    private Map<String, Organisation> organisations = Map.of();

    public FairRequestQueue(QueueSettings settings) {
        this.queue = new FairQueue<>(settings, this::weight);
    }

    @Override
    public QueueOffer<RequestSpec> offer(RequestSpec spec, long startBy, boolean isolated, long now) {
        Object target = isolated ? new IsolatedTarget(spec.target(), spec.digest()) : spec.target();
        String organisation = spec.organisation() == null ? OPEN_ROUTE : spec.organisation();
        return queue.offer(
                new QueueItem<>(
                        spec.id(), organisation, spec.priorityClass(), target, spec.costTokens(), startBy, spec),
                now);
    }

    @Override
    public RequestSpec poll(long now, Predicate<RequestSpec> canRun) {
        QueueItem<RequestSpec> item = queue.poll(now, canRun);
        return item == null ? null : item.value();
    }

    @Override
    public List<RequestSpec> expire(long now) {
        return queue.expire(now).stream().map(QueueItem::value).toList();
    }

    @Override
    public void remove(RequestSpec spec) {
        queue.remove(spec.id());
    }

    @Override
    public void configured(FleetConfiguration configuration) {
        organisations = configuration.organisations();
    }

    private int weight(String organisation) {
        Organisation known = organisations.get(organisation);
        return known == null ? 1 : known.weight();
    }
}
