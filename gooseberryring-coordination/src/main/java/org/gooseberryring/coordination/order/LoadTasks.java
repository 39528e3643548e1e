package org.gooseberryring.coordination.order;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.gooseberryring.coordination.order.BudgetDocument.Slot;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.state.Artifact;

/**
 * Loads artifacts that the placements name, within the budget of the weight store.
 *
 * <p>A load takes a slot of the budget, then records its order in the ledger of the endpoint, then sends it. The slot is
 * given back when the endpoint reports the artifact, or when the order can no longer arrive.
 */
final class LoadTasks {
    /** Key of the budget in the store. */
    static final String BUDGET_KEY = "weights/budget";

    private static final int URGENT = 1;
    /** Time between two reads of the budget by a failure domain that waits for a slot. */
    private static final long WAITING_READ_MILLIS = 250;
    /** Time for which a slot that was given back is left to failure domains that wait; longer than their reads. */
    private static final long YIELD_MILLIS = 600;

    private final ControllerTerm term;
    private final StoredObject<BudgetDocument> budget;
    private final List<LoadTask> tasks = new ArrayList<>();
    private LoadTask slotChange;
    private long nextBudgetReadAt;
    private long yieldUntil;

    LoadTasks(ControllerTerm term) {
        this.term = term;
        this.budget = new StoredObject<>(
                BUDGET_KEY,
                BudgetDocument.class,
                () -> BudgetDocument.free(term.settings().weightConcurrency()),
                term.codec(),
                term.random());
    }

    List<OrderEffect> onTick(long now) {
        List<OrderEffect> effects = new ArrayList<>(budget.onTick(now));
        if (budget.doc() == null || now >= nextBudgetReadAt && budget.ready() && slotChange == null) {
            // Also later, since a paused controller of an earlier term may have taken a slot in the meantime.
            nextBudgetReadAt =
                    now + (waits() ? WAITING_READ_MILLIS : term.settings().leaseMillis());
            effects.addAll(budget.read());
        }
        for (LoadTask task : new ArrayList<>(tasks)) {
            advance(task, now, effects);
        }
        changeSlots(now, effects);
        return effects;
    }

    /** Returns whether any load is under way. */
    boolean busy() {
        return !tasks.isEmpty();
    }

    /** Handles the reply to a call on the budget; returns whether it was one. */
    boolean onBudgetReply(StoreReply reply, long now, List<OrderEffect> effects) {
        if (!reply.key().equals(BUDGET_KEY)) {
            return false;
        }
        StoredObject.Event event = budget.onReply(reply, now, effects);
        LoadTask changed = slotChange;
        if (event == StoredObject.Event.NONE) {
            return true;
        }
        slotChange = null;
        if (changed != null && event == StoredObject.Event.WRITTEN) {
            if (changed.step() == LoadTask.Step.SLOT) {
                changed.slotTaken(now);
                advance(changed, now, effects);
            } else {
                tasks.remove(changed);
                yieldUntil = now + YIELD_MILLIS;
            }
        } else if (changed != null && changed.step() == LoadTask.Step.SLOT) {
            tasks.remove(changed);
        }
        adoptSlots(now);
        changeSlots(now, effects);
        return true;
    }

    /** Handles the outcome of a call on the ledger of an endpoint. */
    void onLedger(EndpointTracker track, StoredObject.Event event, long now, List<OrderEffect> effects) {
        for (LoadTask task : new ArrayList<>(tasks)) {
            if (task.track() == track) {
                task.onLedger(event, now, term.settings(), effects);
            }
        }
    }

    private void advance(LoadTask task, long now, List<OrderEffect> effects) {
        task.advance(term, now, effects);
    }

    /**
     * Takes over slots that an earlier controller of the failure domain has used, and those that this one took without
     * learning of it.
     */
    private void adoptSlots(long now) {
        List<Slot> slots = budget.doc().slots();
        tasks.removeIf(t -> !uses(slots.get(t.slot()), t));
        for (int i = 0; i < slots.size(); i++) {
            Slot slot = slots.get(i);
            if (term.failureDomain().equals(slot.failureDomain())
                    && tasks.stream().noneMatch(t -> uses(slot, t))) {
                tasks.add(LoadTask.adopted(term.tracks().get(slot.endpoint()), slot.order(), i, now));
            }
        }
    }

    private boolean uses(Slot slot, LoadTask task) {
        return term.failureDomain().equals(slot.failureDomain()) && slot.order().equals(task.firstOrder());
    }

    /** Gives back a slot, or takes one for the most important load that fits. */
    private void changeSlots(long now, List<OrderEffect> effects) {
        if (!budget.ready() || slotChange != null) {
            return;
        }
        if (giveBackSlot(now, effects)) {
            return;
        }
        List<Integer> free = freeSlots();
        if (free.isEmpty()) {
            waitForSlot(now, effects);
            return;
        }
        boolean othersWait = budget.doc().othersWait(term.failureDomain());
        if (othersWait && now < yieldUntil) {
            return;
        }
        Candidate best = bestCandidate();
        if (best == null || keptForUrgent(best, free.size())) {
            return;
        }
        int index = free.get(term.random().nextInt(free.size()));
        LoadTask task = LoadTask.started(best.track(), best.artifact(), best.bytes(), term.nextId(), index);
        tasks.add(task);
        slotChange = task;
        Slot slot = new Slot(term.failureDomain(), best.track().endpoint(), task.firstOrder());
        // Who did not take the slot that was left free for it may be gone; it waits again if it is not.
        BudgetDocument known = othersWait && yieldUntil > 0 ? budget.doc().withoutWaiting() : budget.doc();
        String stamp = term.nextStamp();
        yieldUntil = 0;
        effects.addAll(
                budget.put(known.withWaiting(stamp, term.failureDomain(), false).with(stamp, index, slot), now));
    }

    /** Keeps the last slot for loads that restore reachability, unless there is only one. */
    private boolean keptForUrgent(Candidate candidate, int freeSlots) {
        return freeSlots == 1 && budget.doc().slots().size() > 1 && candidate.rank() > URGENT;
    }

    private boolean giveBackSlot(long now, List<OrderEffect> effects) {
        for (LoadTask task : tasks) {
            if (task.releasable(now, term.settings())) {
                slotChange = task;
                effects.addAll(budget.put(budget.doc().with(term.nextStamp(), task.slot(), Slot.FREE), now));
                return true;
            }
        }
        return false;
    }

    private List<Integer> freeSlots() {
        List<Integer> free = new ArrayList<>();
        for (int i = 0; i < budget.doc().slots().size(); i++) {
            if (Slot.isFree(budget.doc().slots().get(i))) {
                free.add(i);
            }
        }
        return free;
    }

    /** Tells the other failure domains that this one has a load to start and holds no slot. */
    private void waitForSlot(long now, List<OrderEffect> effects) {
        if (tasks.isEmpty() && !waits() && bestCandidate() != null) {
            nextBudgetReadAt = now + WAITING_READ_MILLIS;
            effects.addAll(budget.put(budget.doc().withWaiting(term.nextStamp(), term.failureDomain(), true), now));
        }
    }

    private boolean waits() {
        return budget.doc() != null && budget.doc().waiting().contains(term.failureDomain());
    }

    private record Candidate(EndpointTracker track, Artifact artifact, long bytes, int rank) {}

    private record Unit(String model, String adapter) {
        static Unit of(Artifact a) {
            return new Unit(a.model(), a.adapter());
        }
    }

    private Candidate bestCandidate() {
        Set<Unit> confirmed = new HashSet<>();
        Set<EndpointTracker> busy = new HashSet<>();
        for (EndpointTracker track : term.tracks().values()) {
            if (track.cell().doc() != null && term.desired().usable(track.endpoint())) {
                track.ledger().loaded().stream()
                        .filter(h -> track.confirms(h.artifact()))
                        .forEach(h -> confirmed.add(Unit.of(h.artifact())));
            }
        }
        tasks.stream().filter(LoadTask::starting).forEach(t -> busy.add(t.track()));
        List<Candidate> candidates = new ArrayList<>();
        for (EndpointTracker track : term.tracks().values()) {
            if (track.usable() && !busy.contains(track) && !term.desired().leaving(track.endpoint())) {
                addCandidates(track, confirmed, candidates);
            }
        }
        return candidates.isEmpty()
                ? null
                : Collections.min(
                        candidates,
                        Comparator.comparingInt(Candidate::rank)
                                .thenComparing(Candidate::artifact)
                                .thenComparing(c -> c.track().endpoint()));
    }

    private void addCandidates(EndpointTracker track, Set<Unit> confirmed, List<Candidate> candidates) {
        DesiredState desired = term.desired();
        LedgerDocument ledger = track.ledger();
        for (Artifact a : term.wanted(track.endpoint())) {
            long bytes = desired.bytes(a);
            if (bytes < 0
                    || !LoadTask.possible(term, track, a, bytes)
                    || ReservationLedger.hasOrder(ledger, a, Order.Action.LOAD)) {
                continue;
            }
            int rank = confirmed.contains(Unit.of(a))
                    ? URGENT + 1
                    : desired.foreignWitnesses(a).isEmpty() ? 0 : URGENT;
            candidates.add(new Candidate(track, a, bytes, rank));
        }
    }
}
