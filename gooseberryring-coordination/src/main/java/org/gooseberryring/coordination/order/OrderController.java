package org.gooseberryring.coordination.order;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.state.FleetConfiguration;

/**
 * Controller of the endpoints of one failure domain. It loads and unloads artifacts until the endpoints match the
 * placements of the configuration.
 *
 * <p>Only the lease holder acts, but safety does not depend on the lease. Every order requires a conditional update of
 * the ledger of its endpoint, every load one of the budget, and every unload one of the ledger of an endpoint with
 * another confirmed replica. For each key, store replies must be passed on in the order of the calls.
 */
public final class OrderController {
    private final String failureDomain;
    private final OrderSettings settings;
    private final OrderCodec codec;
    private final RandomGenerator random;
    private final DomainLease lease;
    private final Map<String, Deque<ControllerTerm>> pendingCalls = new HashMap<>();
    private FleetConfiguration configuration = FleetConfiguration.empty();
    private ControllerTerm term;

    /** Creates the controller of a failure domain on one host. */
    public OrderController(
            String self, String failureDomain, OrderSettings settings, OrderCodec codec, RandomGenerator random) {
        this.failureDomain = failureDomain;
        this.settings = settings;
        this.codec = codec;
        this.random = random;
        this.lease = new DomainLease(self, failureDomain, settings.leaseMillis(), codec, random);
    }

    /** Returns whether this host is the controller, by its own clock. */
    public boolean isLeader(long now) {
        return lease.isLeader(now);
    }

    /** Returns the fencing number of the current term, 0 if this host is not the controller. */
    public long term() {
        return term == null ? 0 : term.number();
    }

    /** Sets whether this host may become the controller; a few candidates per failure domain are enough. */
    public void setCandidate(boolean candidate) {
        lease.setCandidate(candidate);
    }

    /** Applies a new configuration. */
    public void onConfiguration(FleetConfiguration newConfiguration, long now) {
        configuration = newConfiguration;
        if (term != null) {
            term.onConfiguration(configuration, now);
        }
    }

    /** Returns the effects that are due; must be called several times per second. */
    public List<OrderEffect> onTick(long now) {
        List<OrderEffect> effects = new ArrayList<>(lease.onTick(now));
        updateTerm(now);
        if (term != null) {
            effects.addAll(registerCalls(term.onTick(now)));
        }
        return effects;
    }

    /** Handles a reply of the store. */
    public List<OrderEffect> onStoreReply(StoreReply reply, long now) {
        if (reply.key().equals(DomainLease.key(failureDomain))) {
            List<OrderEffect> effects = lease.onReply(reply, now);
            updateTerm(now);
            return effects;
        }
        Deque<ControllerTerm> queue = pendingCalls.get(reply.key());
        ControllerTerm callingTerm = queue == null ? null : queue.poll();
        if (queue != null && queue.isEmpty()) {
            pendingCalls.remove(reply.key());
        }
        // Replies to calls of an earlier term are ignored.
        return callingTerm == null || callingTerm != term ? List.of() : registerCalls(term.onStoreReply(reply, now));
    }

    /** Handles a report of an endpoint. */
    public List<OrderEffect> onReport(EndpointReport report, long now) {
        return term == null ? List.of() : registerCalls(term.onReport(report, now));
    }

    private void updateTerm(long now) {
        if (!lease.isLeader(now)) {
            term = null;
        } else if (term == null || term.number() != lease.term()) {
            term = new ControllerTerm(failureDomain, lease.term(), settings, codec, random);
            term.onConfiguration(configuration, now);
        }
    }

    private List<OrderEffect> registerCalls(List<OrderEffect> effects) {
        for (OrderEffect effect : effects) {
            if (effect instanceof OrderEffect.Call call) {
                pendingCalls
                        .computeIfAbsent(call.request().key(), k -> new ArrayDeque<>())
                        .add(term);
            }
        }
        return effects;
    }
}
