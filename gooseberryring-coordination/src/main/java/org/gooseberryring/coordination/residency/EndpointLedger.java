package org.gooseberryring.coordination.residency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.EngineProfile;
import org.gooseberryring.state.ModelProfile;
import org.gooseberryring.state.ResidentModel;

/**
 * What the controller knows of one endpoint that it orders.
 *
 * <p>Every order names the number of orders accepted before it, so that of two orders decided on the same state at most
 * one is carried out, however late. One order at a time is open.
 */
final class EndpointLedger {
    private static final long STATUS_MILLIS = 1_000;
    private static final long BUSY_STATUS_MILLIS = 200;
    private static final long SOON_MILLIS = 100;

    /** A status with fewer orders than known is older than the last order, unless it stays for this long. */
    private static final long STALE_STATUS_MILLIS = 2_000;

    /** Time after which an adapter that was ordered can be used; it takes 5 to 10 ms while few are on their way. */
    private static final long ADAPTER_MILLIS = 25;

    private EndpointRegistration registration;
    private final Map<String, Set<String>> held = new TreeMap<>();
    private final Map<String, Set<String>> arriving = new HashMap<>();
    private final UnconfirmedLoads lateLoads = new UnconfirmedLoads();
    private Set<String> copies = Set.of();
    private ArtifactOrder open;
    private String loading;
    private String intended;
    private boolean known;
    private boolean busy;
    private boolean changed;
    private long sequence;
    private long arrivedAt = Long.MAX_VALUE;
    private long sequenceAt;
    private long askAt;
    private boolean asking;

    EndpointLedger(EndpointRegistration registration) {
        this.registration = registration;
    }

    /**
     * Takes over a newer registration; what was known of an earlier start is forgotten.
     *
     * <p>An endpoint registers anew as soon as it has loaded a model, while a status lags behind. It also does when it
     * begins to unload one, whose memory is free only once its requests have ended; that only a status shows.
     */
    void registered(EndpointRegistration newer) {
        if (newer.bornMillis() != registration.bornMillis()) {
            forget();
            lateLoads.restarted();
        }
        registration = newer;
        boolean loaded = newer.models().stream().anyMatch(model -> model.model().equals(loading));
        if (known && busy && open == null && loaded) {
            // Only the end of the load is taken from the registration, which may be older than what else is known.
            held.putIfAbsent(loading, new HashSet<>());
            changed = true;
            busy = false;
            loading = null;
        }
    }

    /** Forgets all that must be read again, as when another host may have ordered meanwhile. */
    void forget() {
        known = false;
        busy = false;
        open = null;
        loading = null;
        intended = null;
        arriving.clear();
        held.clear();
        sequence = 0;
        askAt = 0;
        asking = false;
    }

    EndpointRegistration registration() {
        return registration;
    }

    /** Returns whether an order can be decided on now. */
    boolean ready() {
        return known && open == null && !busy && !registration.leaving();
    }

    boolean holds(String model) {
        return held.containsKey(model);
    }

    boolean holds(String model, String adapter) {
        return held.containsKey(model) && held.get(model).contains(adapter);
    }

    boolean expects(String model, String adapter) {
        return arriving.containsKey(model) && arriving.get(model).contains(adapter);
    }

    /** Returns whether the model is held or on its way. */
    boolean expects(String model) {
        return held.containsKey(model) || model.equals(loading);
    }

    Set<String> models() {
        return held.keySet();
    }

    Set<String> adapters(String model) {
        return held.getOrDefault(model, Set.of());
    }

    boolean hasCopy(String model) {
        return copies.contains(model);
    }

    int adapterCount() {
        int count = lateLoads.adapters();
        for (Set<String> adapters : held.values()) {
            count += adapters.size();
        }
        for (Set<String> adapters : arriving.values()) {
            count += adapters.size();
        }
        return count;
    }

    /** Returns the memory that is free for weights and adapters, in bytes. */
    long freeBytes(EngineProfile engine) {
        long used = lateLoads.bytes(engine) + (loading == null ? 0 : bytes(engine, loading, 0));
        for (Map.Entry<String, Set<String>> entry : held.entrySet()) {
            int coming = arriving.getOrDefault(entry.getKey(), Set.of()).size();
            used += bytes(engine, entry.getKey(), entry.getValue().size() + coming);
        }
        return engine.memoryBytes() - used;
    }

    static long bytes(EngineProfile engine, String model, int adapters) {
        ModelProfile profile = engine.models().get(model);
        // A model that is no longer configured is taken to fill the endpoint.
        return profile == null ? engine.memoryBytes() : profile.bytes() + adapters * profile.adapterBytes();
    }

    /** Returns the next order on this state. */
    ArtifactOrder order(ArtifactOrder.Action action, String model, String adapter, long term) {
        open = new ArtifactOrder(registration.id(), action, model, adapter, sequence, term);
        if (action == ArtifactOrder.Action.UNLOAD) {
            // Requests stop going there before the endpoint hears of it.
            changed = true;
            if (adapter == null) {
                held.remove(model);
            } else if (held.containsKey(model)) {
                held.get(model).remove(adapter);
            }
        }
        return open;
    }

    /** Handles the answer to the open order; an answer to an earlier one is ignored. */
    void answered(ArtifactOrder order, OrderResult answer, long now) {
        if (!order.equals(open)) {
            return;
        }
        open = null;
        // The unload of an adapter that requests still use is accepted and counted only once they have ended.
        OrderResult done = dropsAdapter(order) ? OrderResult.HOLDS : OrderResult.ACCEPTED;
        if (answer == done) {
            accepted(order, now);
            return;
        }
        if (answer == OrderResult.UNKNOWN) {
            lateLoads.unanswered(order, now);
        }
        // What the endpoint holds is read again before the next order. A status that is too old does no harm, since the
        // order decided on it names a number of orders that has passed.
        known = false;
        sequenceAt = now - STALE_STATUS_MILLIS;
        askAt = Math.min(askAt, now + SOON_MILLIS);
    }

    /** Returns whether an order drops an adapter, which is done when it is answered unless a request uses the adapter. */
    private static boolean dropsAdapter(ArtifactOrder order) {
        return order.adapter() != null && order.action() == ArtifactOrder.Action.UNLOAD;
    }

    private void accepted(ArtifactOrder order, long now) {
        sequence++;
        sequenceAt = now;
        if (order.adapter() != null) {
            if (order.action() == ArtifactOrder.Action.LOAD) {
                arrives(order.model(), Set.of(order.adapter()), now);
            }
            return;
        }
        busy = true;
        loading = order.action() == ArtifactOrder.Action.LOAD ? order.model() : null;
        changed = true;
        askAt = Math.min(askAt, now + BUSY_STATUS_MILLIS);
    }

    private void arrives(String model, Set<String> adapters, long now) {
        arriving.computeIfAbsent(model, key -> new HashSet<>()).addAll(adapters);
        arrivedAt = now + ADAPTER_MILLIS;
    }

    /** Returns whether adapters that were ordered do not count as held yet. */
    boolean awaitsAdapter() {
        return !arriving.isEmpty();
    }

    /** Lets adapters that were ordered count as held once they must have arrived. */
    void tick(long now) {
        lateLoads.tick(now);
        if (now >= arrivedAt) {
            arrivedAt = Long.MAX_VALUE;
            arriving.forEach((model, adapters) -> {
                if (held.containsKey(model)) {
                    held.get(model).addAll(adapters);
                }
            });
            arriving.clear();
            changed = true;
        }
    }

    /** Returns whether the status must be asked for now, and notes that it is. */
    boolean askNow(long now) {
        if (asking || now < askAt) {
            return false;
        }
        asking = true;
        askAt = now + (busy || !known ? BUSY_STATUS_MILLIS : STATUS_MILLIS);
        return true;
    }

    void statusFailed() {
        asking = false;
    }

    /** Takes over a status unless it is older than the last accepted order. */
    void status(EndpointStatus status, long now) {
        asking = false;
        boolean older = status.orderSequence() < sequence;
        if (open != null || !arriving.isEmpty() || older && now - sequenceAt < STALE_STATUS_MILLIS) {
            return;
        }
        sequence = status.orderSequence();
        busy = status.busy();
        copies = status.copies();
        if (!busy) {
            loading = null;
        }
        Map<String, Set<String>> reported = new TreeMap<>();
        for (ResidentModel model : status.models()) {
            reported.put(model.model(), new HashSet<>(model.adapters()));
        }
        changed |= !known || !reported.equals(held);
        held.clear();
        held.putAll(reported);
        status.incoming().forEach(model -> arrives(model.model(), model.adapters(), now));
        known = true;
    }

    /** Returns whether what it holds has changed since the last call. */
    boolean takeChanged() {
        boolean result = changed && known;
        if (result) {
            changed = false;
        }
        return result;
    }

    /** Notes the model that will be loaded once there is room, null if none is. */
    void intend(String model) {
        intended = model;
        changed = true;
    }

    boolean isKnown() {
        return known;
    }

    ResidencyEffect.Announce announcement() {
        List<ResidentModel> models = new ArrayList<>();
        held.forEach((model, adapters) -> models.add(new ResidentModel(model, adapters)));
        return new ResidencyEffect.Announce(registration.id(), sequence, models, loading == null ? intended : loading);
    }
}
