package org.gooseberryring.coordination.order;

import java.util.List;

import org.gooseberryring.state.Artifact;

/** One load on its way from the slot of the budget to the report that shows it. */
final class LoadTask {
    private final EndpointTracker track;
    private final int slot;
    private final OrderId firstOrder;
    private Artifact artifact;
    private long bytes;
    private Order order;
    private Step step;
    private boolean ledgerOpen;
    private long slotAt;
    private long ledgerAt;
    private long sentAt;

    /** Step of a load. */
    enum Step {
        /** The slot is being taken. */
        SLOT,
        /** The ledger of a slot that an earlier controller used is being updated, which shuts that controller out. */
        ADOPT,
        /** The order is being recorded. */
        LEDGER,
        /** The order was sent, or may have been. */
        SENT,
        /** The slot may be given back. */
        RESOLVED
    }

    private LoadTask(EndpointTracker track, Artifact artifact, long bytes, OrderId firstOrder, int slot, Step step) {
        this.track = track;
        this.artifact = artifact;
        this.bytes = bytes;
        this.firstOrder = firstOrder;
        this.slot = slot;
        this.step = step;
    }

    static LoadTask started(EndpointTracker track, Artifact artifact, long bytes, OrderId firstOrder, int slot) {
        return new LoadTask(track, artifact, bytes, firstOrder, slot, Step.SLOT);
    }

    /**
     * Creates the task of a slot found in use.
     *
     * @param track endpoint that may load, or null if none can
     */
    static LoadTask adopted(EndpointTracker track, OrderId firstOrder, int slot, long now) {
        LoadTask task = new LoadTask(track, null, 0, firstOrder, slot, track == null ? Step.RESOLVED : Step.ADOPT);
        task.slotAt = now;
        return task;
    }

    /** Returns whether the artifact can be loaded now: no order stands against it, it fits, an adapter has its model. */
    static boolean possible(ControllerTerm term, EndpointTracker track, Artifact artifact, long bytes) {
        LedgerDocument ledger = track.ledger();
        long memory = term.desired().memoryBytes(track.endpoint());
        if (ReservationLedger.holds(ledger, artifact)
                || ReservationLedger.hasOrder(ledger, artifact, Order.Action.UNLOAD)
                || !ReservationLedger.fits(ledger, artifact, bytes, memory)) {
            return false;
        }
        return artifact.adapter() == null
                || ledger.loaded().stream()
                        .anyMatch(h -> h.artifact().adapter() == null
                                && h.artifact().model().equals(artifact.model())
                                && term.wants(track.endpoint(), h.artifact())
                                && ReservationLedger.confirms(ledger, h.artifact()));
    }

    EndpointTracker track() {
        return track;
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

    /** Returns whether the load is not yet in the ledger of its endpoint. */
    boolean starting() {
        return step == Step.SLOT || step == Step.LEDGER;
    }

    void slotTaken(long now) {
        slotAt = now;
        step = Step.LEDGER;
    }

    /** Returns whether the slot may be given back: the load is over and the next start is due. */
    boolean releasable(long now, OrderSettings settings) {
        return step == Step.RESOLVED && now - slotAt >= settings.slotIntervalMillis();
    }

    void advance(ControllerTerm term, long now, List<OrderEffect> effects) {
        if (track == null || track.cell().doc() == null || ledgerOpen) {
            return;
        }
        switch (step) {
            case ADOPT:
                adopt(term, now, effects);
                break;
            case LEDGER:
                record(term, now, effects);
                break;
            case SENT:
                follow(term, now);
                break;
            default:
                break;
        }
    }

    void onLedger(StoredObject.Event event, long now, OrderSettings settings, List<OrderEffect> effects) {
        if (!ledgerOpen || event == StoredObject.Event.NONE) {
            return;
        }
        ledgerOpen = false;
        if (step == Step.ADOPT) {
            if (event == StoredObject.Event.WRITTEN) {
                adoptFrom(track.ledger(), now);
            }
            return;
        }
        step = Step.SENT;
        sentAt = now;
        if (event == StoredObject.Event.WRITTEN && now - ledgerAt <= settings.sendWindowMillis()) {
            effects.add(new OrderEffect.Send(track.endpoint(), order));
        }
    }

    private void adopt(ControllerTerm term, long now, List<OrderEffect> effects) {
        if (track.cell().ready()) {
            ledgerOpen = true;
            effects.addAll(track.cell().put(ReservationLedger.touch(track.ledger(), term.nextStamp()), now));
        }
    }

    /** Follows the load that the slot was taken for, or another load of the endpoint that may have replaced it. */
    private void adoptFrom(LedgerDocument ledger, long now) {
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

    private void record(ControllerTerm term, long now, List<OrderEffect> effects) {
        OrderSettings settings = term.settings();
        String endpoint = track.endpoint();
        DesiredState desired = term.desired();
        boolean late = now - Math.max(slotAt, sentAt) > settings.sendWindowMillis();
        if (late || !desired.usable(endpoint) || !term.wants(endpoint, artifact)) {
            step = Step.SENT; // An earlier order of this load may still be open.
            return;
        }
        if (!track.usable()) {
            return;
        }
        if (!possible(term, track, artifact, bytes)) {
            step = Step.SENT;
            return;
        }
        order = new Order(order == null ? firstOrder : term.nextId(), Order.Action.LOAD, artifact, bytes);
        ledgerAt = now;
        ledgerOpen = true;
        effects.addAll(track.cell().put(ReservationLedger.with(track.ledger(), term.nextStamp(), order), now));
    }

    /** Waits for the report that shows the artifact; replaces an order that shows no effect by a new one. */
    private void follow(ControllerTerm term, long now) {
        LedgerDocument ledger = track.ledger();
        long open = ledger.orders().stream()
                .filter(o -> o.action() == Order.Action.LOAD && o.artifact().equals(artifact))
                .count();
        boolean held = ReservationLedger.holds(ledger, artifact);
        // An order that was replaced may still arrive, and would load again if the engine restarted in the meantime.
        if (open == 0 || held && open == 1) {
            step = Step.RESOLVED;
            return;
        }
        if (held) {
            return;
        }
        boolean noEffect = order == null
                || track.usedReportAt() >= sentAt + term.settings().retryMillis() && !anyPending(ledger);
        if (noEffect && term.wants(track.endpoint(), artifact)) {
            sentAt = now;
            step = Step.LEDGER;
        }
    }

    private boolean anyPending(LedgerDocument ledger) {
        return ledger.orders().stream().anyMatch(o -> o.artifact().equals(artifact) && track.pending(o.id()));
    }
}
