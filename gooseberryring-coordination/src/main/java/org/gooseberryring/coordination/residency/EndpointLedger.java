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
    private static final long STATUS_INTERVAL_MILLIS = 1_000;
    private static final long BUSY_STATUS_INTERVAL_MILLIS = 200;
    private static final long RECHECK_DELAY_MILLIS = 100;

    /** A status with fewer orders than known is older than the last order, unless it stays for this long. */
    private static final long STALE_STATUS_MILLIS = 2_000;

    /** Time after which an adapter that was ordered can be used; it takes 5 to 10 ms while few are on their way. */
    private static final long ADAPTER_LOAD_MILLIS = 25;

    private EndpointRegistration registration;
    private final Map<String, Set<String>> loadedModels = new TreeMap<>();
    private final Map<String, Set<String>> arriving = new HashMap<>();
    private final UnconfirmedLoads unconfirmedLoads = new UnconfirmedLoads();
    private Set<String> copies = Set.of();
    private ArtifactOrder openOrder;
    private String loading;
    private String plannedModel;
    private boolean stateKnown;
    private boolean busy;
    private boolean changed;
    private long sequence;
    private long adaptersUsableAt = Long.MAX_VALUE;
    private long sequenceAt;
    private long statusDueAt;
    private boolean statusPending;

    EndpointLedger(EndpointRegistration registration) {
        this.registration = registration;
    }

    /**
     * Takes over a newer registration; what was known of an earlier start is forgotten.
     *
     * <p>An endpoint registers anew as soon as it has loaded a model, while a status lags behind. It also does when it
     * begins to unload one, whose memory is free only once its requests have ended; that only a status shows.
     */
    void onRegistered(EndpointRegistration newRegistration) {
        if (newRegistration.bornMillis() != registration.bornMillis()) {
            reset();
            unconfirmedLoads.onRestart();
        }
        registration = newRegistration;
        boolean loadEnded = newRegistration.models().stream()
                .anyMatch(model -> model.model().equals(loading));
        if (stateKnown && busy && openOrder == null && loadEnded) {
            // Only the end of the load is taken from the registration, which may be older than what else is known.
            loadedModels.putIfAbsent(loading, new HashSet<>());
            changed = true;
            busy = false;
            loading = null;
        }
    }

    /** Forgets all that must be read again, as when another host may have ordered meanwhile. */
    void reset() {
        stateKnown = false;
        busy = false;
        openOrder = null;
        loading = null;
        plannedModel = null;
        arriving.clear();
        loadedModels.clear();
        sequence = 0;
        statusDueAt = 0;
        statusPending = false;
    }

    EndpointRegistration registration() {
        return registration;
    }

    /** Returns whether an order can be decided on now. */
    boolean isReady() {
        return stateKnown && openOrder == null && !busy && !registration.leaving();
    }

    boolean hasLoaded(String model) {
        return loadedModels.containsKey(model);
    }

    boolean hasLoaded(String model, String adapter) {
        return loadedModels.containsKey(model) && loadedModels.get(model).contains(adapter);
    }

    boolean isExpecting(String model, String adapter) {
        return arriving.containsKey(model) && arriving.get(model).contains(adapter);
    }

    /** Returns whether the model is held or on its way. */
    boolean isExpecting(String model) {
        return loadedModels.containsKey(model) || model.equals(loading);
    }

    Set<String> models() {
        return loadedModels.keySet();
    }

    Set<String> adapters(String model) {
        return loadedModels.getOrDefault(model, Set.of());
    }

    boolean hasCopy(String model) {
        return copies.contains(model);
    }

    int adapterCount() {
        int count = unconfirmedLoads.adapterCount();
        for (Set<String> adapters : loadedModels.values()) {
            count += adapters.size();
        }
        for (Set<String> adapters : arriving.values()) {
            count += adapters.size();
        }
        return count;
    }

    /** Returns the memory that is free for weights and adapters, in bytes. */
    long freeBytes(EngineProfile engine) {
        long used = unconfirmedLoads.bytes(engine) + (loading == null ? 0 : bytes(engine, loading, 0));
        for (Map.Entry<String, Set<String>> entry : loadedModels.entrySet()) {
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
        openOrder = new ArtifactOrder(registration.id(), action, model, adapter, sequence, term);
        if (action == ArtifactOrder.Action.UNLOAD) {
            // Requests stop going there before the endpoint hears of it.
            changed = true;
            if (adapter == null) {
                loadedModels.remove(model);
            } else if (loadedModels.containsKey(model)) {
                loadedModels.get(model).remove(adapter);
            }
        }
        return openOrder;
    }

    /** Handles the answer to the open order; an answer to an earlier one is ignored. */
    void onOrderResult(ArtifactOrder order, OrderResult result, long now) {
        if (!order.equals(openOrder)) {
            return;
        }
        openOrder = null;
        // The unload of an adapter that requests still use is accepted and counted only once they have ended.
        OrderResult expectedResult = unloadsAdapter(order) ? OrderResult.HOLDS : OrderResult.ACCEPTED;
        if (result == expectedResult) {
            applyAccepted(order, now);
            return;
        }
        if (result == OrderResult.UNKNOWN) {
            unconfirmedLoads.record(order, now);
        }
        // What the endpoint holds is read again before the next order. A status that is too old does no harm, since the
        // order decided on it names a number of orders that has passed.
        stateKnown = false;
        sequenceAt = now - STALE_STATUS_MILLIS;
        statusDueAt = Math.min(statusDueAt, now + RECHECK_DELAY_MILLIS);
    }

    /** Returns whether an order drops an adapter, which is done when it is answered unless a request uses the adapter. */
    private static boolean unloadsAdapter(ArtifactOrder order) {
        return order.adapter() != null && order.action() == ArtifactOrder.Action.UNLOAD;
    }

    private void applyAccepted(ArtifactOrder order, long now) {
        sequence++;
        sequenceAt = now;
        if (order.adapter() != null) {
            if (order.action() == ArtifactOrder.Action.LOAD) {
                addArriving(order.model(), Set.of(order.adapter()), now);
            }
            return;
        }
        busy = true;
        loading = order.action() == ArtifactOrder.Action.LOAD ? order.model() : null;
        changed = true;
        statusDueAt = Math.min(statusDueAt, now + BUSY_STATUS_INTERVAL_MILLIS);
    }

    private void addArriving(String model, Set<String> adapters, long now) {
        arriving.computeIfAbsent(model, key -> new HashSet<>()).addAll(adapters);
        adaptersUsableAt = now + ADAPTER_LOAD_MILLIS;
    }

    /** Returns whether adapters that were ordered do not count as held yet. */
    boolean isAwaitingAdapter() {
        return !arriving.isEmpty();
    }

    /** Lets adapters that were ordered count as held once they must have arrived. */
    void onTick(long now) {
        unconfirmedLoads.onTick(now);
        if (now >= adaptersUsableAt) {
            adaptersUsableAt = Long.MAX_VALUE;
            arriving.forEach((model, adapters) -> {
                if (loadedModels.containsKey(model)) {
                    loadedModels.get(model).addAll(adapters);
                }
            });
            arriving.clear();
            changed = true;
        }
    }

    /** Returns whether the status must be asked for now, and notes that it is. */
    boolean startStatusRequest(long now) {
        if (statusPending || now < statusDueAt) {
            return false;
        }
        statusPending = true;
        statusDueAt = now + (busy || !stateKnown ? BUSY_STATUS_INTERVAL_MILLIS : STATUS_INTERVAL_MILLIS);
        return true;
    }

    void onStatusFailure() {
        statusPending = false;
    }

    /** Takes over a status unless it is older than the last accepted order. */
    void onStatus(EndpointStatus status, long now) {
        statusPending = false;
        boolean outdated = status.orderSequence() < sequence;
        if (openOrder != null || !arriving.isEmpty() || outdated && now - sequenceAt < STALE_STATUS_MILLIS) {
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
        changed |= !stateKnown || !reported.equals(loadedModels);
        loadedModels.clear();
        loadedModels.putAll(reported);
        status.incoming().forEach(model -> addArriving(model.model(), model.adapters(), now));
        stateKnown = true;
    }

    /** Returns whether what it holds has changed since the last call. */
    boolean takeChanged() {
        boolean pending = changed && stateKnown;
        if (pending) {
            changed = false;
        }
        return pending;
    }

    /** Notes the model that will be loaded once there is room, null if none is. */
    void setPlannedModel(String model) {
        plannedModel = model;
        changed = true;
    }

    boolean isKnown() {
        return stateKnown;
    }

    ResidencyEffect.Announce announcement() {
        List<ResidentModel> models = new ArrayList<>();
        loadedModels.forEach((model, adapters) -> models.add(new ResidentModel(model, adapters)));
        return new ResidencyEffect.Announce(
                registration.id(), sequence, models, loading == null ? plannedModel : loading);
    }
}
