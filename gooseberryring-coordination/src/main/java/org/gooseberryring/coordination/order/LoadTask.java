package org.gooseberryring.coordination.order;

import java.util.List;

import org.gooseberryring.state.Artifact;

/** Progress of one load, from acquiring a slot of the budget to the report that lists the artifact. */
final class LoadTask {
    private final EndpointTracker tracker;
    private final int slot;
    private final OrderId firstOrder;
    private Artifact artifact;
    private long bytes;
    private Order order;
    private Step step;
    private boolean ledgerUpdateInFlight;
    private long slotTakenAt;
    private long ledgerUpdateAt;
    private long sentAt;

    /** Step of a load. */
    enum Step {
        /** The slot is being acquired. */
        SLOT,
        /**
         * The ledger for a slot of an earlier controller is being updated, so that conditional writes of that
         * controller fail.
         */
        ADOPT,
        /** The order is being recorded. */
        LEDGER,
        /** The order was sent or may have been sent. */
        SENT,
        /** The load is over and the slot may be released. */
        RESOLVED
    }

    private LoadTask(EndpointTracker tracker, Artifact artifact, long bytes, OrderId firstOrder, int slot, Step step) {
        this.tracker = tracker;
        this.artifact = artifact;
        this.bytes = bytes;
        this.firstOrder = firstOrder;
        this.slot = slot;
        this.step = step;
    }

    static LoadTask forNewLoad(EndpointTracker tracker, Artifact artifact, long bytes, OrderId firstOrder, int slot) {
        return new LoadTask(tracker, artifact, bytes, firstOrder, slot, Step.SLOT);
    }

    /**
     * Creates the task for a slot that was found in use.
     *
     * @param track endpoint that may load, or null if none can
     */
    static LoadTask forAdoptedSlot(EndpointTracker tracker, OrderId firstOrder, int slot, long now) {
        LoadTask task = new LoadTask(tracker, null, 0, firstOrder, slot, tracker == null ? Step.RESOLVED : Step.ADOPT);
        task.slotTakenAt = now;
        return task;
    }

    /**
     * Returns whether the artifact can be loaded now: it is not loaded, no unload is open, it fits, and the base model
     * of an adapter is loaded.
     */
    static boolean canLoad(ControllerTerm term, EndpointTracker tracker, Artifact artifact, long bytes) {
        LedgerDocument ledger = tracker.ledger();
        long memory = term.desired().memoryBytes(tracker.endpoint());
        if (ReservationLedger.isLoaded(ledger, artifact)
                || ReservationLedger.hasOrder(ledger, artifact, Order.Action.UNLOAD)
                || !ReservationLedger.fits(ledger, artifact, bytes, memory)) {
            return false;
        }
        return artifact.adapter() == null
                || ledger.loaded().stream()
                        .anyMatch(entry -> entry.artifact().adapter() == null
                                && entry.artifact().model().equals(artifact.model())
                                && term.isDesired(tracker.endpoint(), entry.artifact())
                                && ReservationLedger.isConfirmed(ledger, entry.artifact()));
    }

    EndpointTracker tracker() {
        return tracker;
    }

    int slot() {
        return slot;
    }

    OrderId firstOrder() {
        return firstOrder;
    }

    Step step() {
        return step;
    }

    /** Returns whether the load is not yet recorded in the ledger of its endpoint. */
    boolean isStarting() {
        return step == Step.SLOT || step == Step.LEDGER;
    }

    void onSlotTaken(long now) {
        slotTakenAt = now;
        step = Step.LEDGER;
    }

    /** Returns whether the slot may be released: the load is over and the slot interval has passed. */
    boolean isReleasable(long now, OrderSettings settings) {
        return step == Step.RESOLVED && now - slotTakenAt >= settings.slotIntervalMillis();
    }

    void advance(ControllerTerm term, long now, List<OrderEffect> effects) {
        if (tracker == null || tracker.storedLedger().document() == null || ledgerUpdateInFlight) {
            return;
        }
        switch (step) {
            case ADOPT:
                adopt(term, now, effects);
                break;
            case LEDGER:
                recordOrder(term, now, effects);
                break;
            case SENT:
                checkProgress(term, now);
                break;
            default:
                break;
        }
    }

    void onLedgerEvent(StoredObject.Event event, long now, OrderSettings settings, List<OrderEffect> effects) {
        if (!ledgerUpdateInFlight || event == StoredObject.Event.NONE) {
            return;
        }
        ledgerUpdateInFlight = false;
        if (step == Step.ADOPT) {
            if (event == StoredObject.Event.WRITTEN) {
                adoptOrder(tracker.ledger(), now);
            }
            return;
        }
        step = Step.SENT;
        sentAt = now;
        if (event == StoredObject.Event.WRITTEN && now - ledgerUpdateAt <= settings.sendWindowMillis()) {
            effects.add(new OrderEffect.Send(tracker.endpoint(), order));
        }
    }

    private void adopt(ControllerTerm term, long now, List<OrderEffect> effects) {
        if (tracker.storedLedger().isReady()) {
            ledgerUpdateInFlight = true;
            effects.addAll(
                    tracker.storedLedger().put(ReservationLedger.withStamp(tracker.ledger(), term.nextStamp()), now));
        }
    }

    /**
     * Adopts the order for which the slot was acquired, or another load order of the endpoint that may have replaced
     * it.
     */
    private void adoptOrder(LedgerDocument ledger, long now) {
        step = Step.RESOLVED;
        for (Order o : ledger.orders()) {
            if (o.action() == Order.Action.LOAD) {
                step = Step.SENT;
                order = o;
                artifact = o.artifact();
                bytes = o.bytes();
                sentAt = now;
                if (o.id().equals(firstOrder)) {
                    return;
                }
            }
        }
    }

    private void recordOrder(ControllerTerm term, long now, List<OrderEffect> effects) {
        OrderSettings settings = term.settings();
        String endpoint = tracker.endpoint();
        DesiredState desired = term.desired();
        boolean isExpired = now - Math.max(slotTakenAt, sentAt) > settings.sendWindowMillis();
        if (isExpired || !desired.isUsable(endpoint) || !term.isDesired(endpoint, artifact)) {
            step = Step.SENT; // An earlier order of this load may still be open.
            return;
        }
        if (!tracker.isUsable()) {
            return;
        }
        if (!canLoad(term, tracker, artifact, bytes)) {
            step = Step.SENT;
            return;
        }
        order = new Order(order == null ? firstOrder : term.nextOrderId(), Order.Action.LOAD, artifact, bytes);
        ledgerUpdateAt = now;
        ledgerUpdateInFlight = true;
        effects.addAll(tracker.storedLedger()
                .put(ReservationLedger.withOrder(tracker.ledger(), term.nextStamp(), order), now));
    }

    /** Resolves the load when a report lists the artifact; replaces an order without visible effect by a new one. */
    private void checkProgress(ControllerTerm term, long now) {
        LedgerDocument ledger = tracker.ledger();
        long openOrders = ledger.orders().stream()
                .filter(o -> o.action() == Order.Action.LOAD && o.artifact().equals(artifact))
                .count();
        boolean isLoaded = ReservationLedger.isLoaded(ledger, artifact);
        // A replaced order may still arrive and would load again if the engine restarted in the meantime.
        if (openOrders == 0 || isLoaded && openOrders == 1) {
            step = Step.RESOLVED;
            return;
        }
        if (isLoaded) {
            return;
        }
        boolean noEffect = order == null
                || tracker.appliedReportAt() >= sentAt + term.settings().retryIntervalMillis()
                        && !hasPendingOrder(ledger);
        if (noEffect && term.isDesired(tracker.endpoint(), artifact)) {
            sentAt = now;
            step = Step.LEDGER;
        }
    }

    private boolean hasPendingOrder(LedgerDocument ledger) {
        return ledger.orders().stream().anyMatch(o -> o.artifact().equals(artifact) && tracker.isPending(o.id()));
    }
}
