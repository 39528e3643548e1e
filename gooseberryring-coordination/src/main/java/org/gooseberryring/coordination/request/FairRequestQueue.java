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
    /** Target of a request that may have to wait while others for the same target go on. */
    private record ApartTarget(RequestTarget target, String digest) {}

    /** Requests on open routes share the turn of one organisation of weight 1. */
    private static final String OPEN_ROUTE = "";

    private final FairQueue<RequestSpec> queue;
    private Map<String, Organisation> organisations = Map.of();

    public FairRequestQueue(QueueSettings settings) {
        this.queue = new FairQueue<>(settings, this::weight);
    }

    @Override
    public QueueOffer<RequestSpec> offer(RequestSpec spec, boolean apart, long now) {
        Object target = apart ? new ApartTarget(spec.target(), spec.digest()) : spec.target();
        String organisation = spec.organisation() == null ? OPEN_ROUTE : spec.organisation();
        return queue.offer(
                new QueueItem<>(
                        spec.id(),
                        organisation,
                        spec.priorityClass(),
                        target,
                        spec.costTokens(),
                        Math.min(spec.deadline(), spec.handling().startBy()),
                        spec),
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
