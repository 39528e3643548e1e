package org.gooseberryring.coordination.residency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.gooseberryring.coordination.ratelimit.RateLimit;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.EngineProfile;
import org.gooseberryring.state.ModelProfile;
import org.gooseberryring.state.ResidentModel;

/**
 * State of one endpoint that receives orders from the controller.
 *
 * <p>Every order contains the number of orders accepted before it. Of two orders based on the same state at most one is
 * therefore executed, however late it arrives. Only one order is open at a time.
 */
final class EndpointLedger {
    private static final long STATUS_INTERVAL_MILLIS = 1_000;
    private static final long BUSY_STATUS_INTERVAL_MILLIS = 200;
    private static final long RECHECK_DELAY_MILLIS = 100;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Share of the rate limit of an endpoint that its statuses may take; requests of callers need the rest. */
    private static final double STATUS_SHARE = 0.25;

    /** A status with fewer accepted orders than known predates the last order, unless it persists for this long. */
    private static final long STALE_STATUS_MILLIS = 2_000;

    /** Time after which an ordered adapter is usable; a load takes 5 to 10 ms while few adapters are loading. */
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
    private long minStatusIntervalMillis;
    private boolean statusPending;

    EndpointLedger(EndpointRegistration registration) {
        this.registration = registration;
    }

    /**
     * Handles a newer registration and discards the state if the endpoint has restarted.
     *
     * <p>An endpoint registers again as soon as it has loaded a model, before a status shows it. It also registers
     * again when it begins to unload a model, but the memory becomes free only when the requests of the model have
     * ended. Only a status shows that.
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
            // The registration only confirms the end of the load; its other content may be older than the known state.
            loadedModels.putIfAbsent(loading, new HashSet<>());
            changed = true;
            busy = false;
            loading = null;
        }
    }

    /** Discards the state so that it is read again, for example because another host may have sent orders. */
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

    /** Returns whether the state is known and the endpoint can take an order now. */
    boolean isReady() {
        return stateKnown && openOrder == null && !busy && !registration.leaving();
    }

    /** Returns whether the endpoint carries out no order for a model; one for an adapter is done in a moment. */
    boolean isOpenForModels() {
        boolean isModelOrdered = openOrder != null && openOrder.adapter() == null;
        return stateKnown && !busy && !isModelOrdered && !registration.leaving();
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

    /** Returns whether the model is loaded or loading. */
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

    /** Returns the memory that is free for models and adapters in bytes. */
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
        // The size of a model that is no longer configured is unknown: assume that it fills the endpoint.
        return profile == null ? engine.memoryBytes() : profile.bytes() + adapters * profile.adapterBytes();
    }

    /** Creates the next order based on this state and marks it as open. */
    ArtifactOrder order(ArtifactOrder.Action action, String model, String adapter, long term) {
        openOrder = new ArtifactOrder(registration.id(), action, model, adapter, sequence, term);
        if (action == ArtifactOrder.Action.UNLOAD) {
            // Requests stop using the artifact before the endpoint receives the order.
            changed = true;
            if (adapter == null) {
                loadedModels.remove(model);
            } else if (loadedModels.containsKey(model)) {
                loadedModels.get(model).remove(adapter);
            }
        }
        return openOrder;
    }

    /** Handles the result of the open order; results of earlier orders are ignored. */
    void onOrderResult(ArtifactOrder order, OrderResult result, long now) {
        if (!order.equals(openOrder)) {
            return;
        }
        openOrder = null;
        // ACCEPTED for an adapter unload means that requests still use the adapter; the endpoint counts the order only
        // when they have ended.
        OrderResult expectedResult = unloadsAdapter(order) ? OrderResult.HOLDS : OrderResult.ACCEPTED;
        if (result == expectedResult) {
            applyAccepted(order, now);
            return;
        }
        if (result == OrderResult.UNKNOWN) {
            unconfirmedLoads.recordUnanswered(order, now);
        }
        // The state is read again before the next order. An outdated status does no harm: the endpoint rejects an order
        // that is based on it because of its sequence number.
        stateKnown = false;
        sequenceAt = now - STALE_STATUS_MILLIS;
        statusDueAt = Math.min(statusDueAt, now + RECHECK_DELAY_MILLIS);
    }

    /** Returns whether an order unloads an adapter, which is done at once unless a request uses the adapter. */
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

    /** Returns whether ordered adapters do not count as loaded yet. */
    boolean isAwaitingAdapter() {
        return !arriving.isEmpty();
    }

    /** Counts ordered adapters as loaded when their load time has passed. */
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

    /** Returns whether the status must be requested now, and marks the request as pending if so. */
    boolean startStatusRequest(long now) {
        if (statusPending || now < statusDueAt) {
            return false;
        }
        statusPending = true;
        long interval = busy || !stateKnown ? BUSY_STATUS_INTERVAL_MILLIS : STATUS_INTERVAL_MILLIS;
        statusDueAt = now + Math.max(minStatusIntervalMillis, interval);
        return true;
    }

    /** Sets the rate limit of the endpoint, of which statuses take a small share. */
    void setRateLimit(RateLimit limit) {
        minStatusIntervalMillis =
                limit.isLimited() ? (long) (MILLIS_PER_SECOND / (STATUS_SHARE * limit.permitsPerSecond())) : 0;
    }

    void onStatusFailure() {
        statusPending = false;
    }

    /** Stores a status unless an order or adapter is pending or the status is older than the last accepted order. */
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

    /** Returns whether the known state has changed since the last call, and clears the change. */
    boolean takeChanged() {
        boolean pending = changed && stateKnown;
        if (pending) {
            changed = false;
        }
        return pending;
    }

    /** Sets the model to be loaded when memory is free, null if there is none. */
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
