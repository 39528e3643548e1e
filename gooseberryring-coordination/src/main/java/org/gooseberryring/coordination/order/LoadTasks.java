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
 * Loads desired artifacts within the budget of the weight store.
 *
 * <p>A load acquires a slot of the budget, then records its order in the ledger of the endpoint, then sends it. The
 * slot is released when the endpoint reports the artifact, or when the order can no longer arrive.
 */
final class LoadTasks {
    /** Key of the budget in the store. */
    static final String BUDGET_KEY = "weights/budget";

    private static final int URGENT_RANK = 1;
    /** Interval between reads of the budget while the failure domain waits for a slot. */
    private static final long WAITING_READ_INTERVAL_MILLIS = 250;
    /** Time for which a released slot is reserved for waiting failure domains; longer than their read interval. */
    private static final long YIELD_MILLIS = 600;

    private final ControllerTerm term;
    private final StoredObject<BudgetDocument> budget;
    private final List<LoadTask> tasks = new ArrayList<>();
    private LoadTask changingTask;
    private long nextBudgetReadAt;
    private long yieldUntil;

    LoadTasks(ControllerTerm term) {
        this.term = term;
        this.budget = new StoredObject<>(
                BUDGET_KEY,
                BudgetDocument.class,
                () -> BudgetDocument.ofFreeSlots(term.settings().weightConcurrency()),
                term.codec(),
                term.random());
    }

    List<OrderEffect> onTick(long now) {
        List<OrderEffect> effects = new ArrayList<>(budget.onTick(now));
        if (budget.document() == null || now >= nextBudgetReadAt && budget.isReady() && changingTask == null) {
            // Repeated, since a paused controller of an earlier term may have acquired a slot in the meantime.
            nextBudgetReadAt = now
                    + (isWaiting()
                            ? WAITING_READ_INTERVAL_MILLIS
                            : term.settings().leaseMillis());
            effects.addAll(budget.read());
        }
        for (LoadTask task : new ArrayList<>(tasks)) {
            advance(task, now, effects);
        }
        changeSlots(now, effects);
        return effects;
    }

    /** Returns whether any load is in progress. */
    boolean isBusy() {
        return !tasks.isEmpty();
    }

    /** Handles a reply if it is for the budget; returns whether it was. */
    boolean onBudgetReply(StoreReply reply, long now, List<OrderEffect> effects) {
        if (!reply.key().equals(BUDGET_KEY)) {
            return false;
        }
        StoredObject.Event event = budget.onReply(reply, now, effects);
        LoadTask changed = changingTask;
        if (event == StoredObject.Event.NONE) {
            return true;
        }
        changingTask = null;
        if (changed != null && event == StoredObject.Event.WRITTEN) {
            if (changed.step() == LoadTask.Step.SLOT) {
                changed.onSlotTaken(now);
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
    void onLedgerEvent(EndpointTracker tracker, StoredObject.Event event, long now, List<OrderEffect> effects) {
        for (LoadTask task : new ArrayList<>(tasks)) {
            if (task.tracker() == tracker) {
                task.onLedgerEvent(event, now, term.settings(), effects);
            }
        }
    }

    private void advance(LoadTask task, long now, List<OrderEffect> effects) {
        task.advance(term, now, effects);
    }

    /**
     * Adopts slots of an earlier controller of the failure domain, and slots that this one acquired by a write whose
     * outcome was unknown.
     */
    private void adoptSlots(long now) {
        List<Slot> slots = budget.document().slots();
        tasks.removeIf(t -> !isHeldBy(slots.get(t.slot()), t));
        for (int i = 0; i < slots.size(); i++) {
            Slot slot = slots.get(i);
            if (term.failureDomain().equals(slot.failureDomain())
                    && tasks.stream().noneMatch(t -> isHeldBy(slot, t))) {
                tasks.add(LoadTask.forAdoptedSlot(term.trackers().get(slot.endpoint()), slot.order(), i, now));
            }
        }
    }

    private boolean isHeldBy(Slot slot, LoadTask task) {
        return term.failureDomain().equals(slot.failureDomain()) && slot.order().equals(task.firstOrder());
    }

    /** Releases a slot, or acquires one for the most urgent load that fits. */
    private void changeSlots(long now, List<OrderEffect> effects) {
        if (!budget.isReady() || changingTask != null) {
            return;
        }
        if (releaseSlot(now, effects)) {
            return;
        }
        List<Integer> freeSlots = findFreeSlots();
        if (freeSlots.isEmpty()) {
            registerWaiting(now, effects);
            return;
        }
        boolean otherWaiting = budget.document().hasOtherWaiting(term.failureDomain());
        if (otherWaiting && now < yieldUntil) {
            return;
        }
        Candidate best = bestCandidate();
        if (best == null || isReservedForUrgent(best, freeSlots.size())) {
            return;
        }
        int index = freeSlots.get(term.random().nextInt(freeSlots.size()));
        LoadTask task = LoadTask.forNewLoad(best.tracker(), best.artifact(), best.bytes(), term.nextOrderId(), index);
        tasks.add(task);
        changingTask = task;
        Slot slot = new Slot(term.failureDomain(), best.tracker().endpoint(), task.firstOrder());
        // A domain that did not use the slot reserved for it may be gone; if not, it registers again.
        BudgetDocument current =
                otherWaiting && yieldUntil > 0 ? budget.document().withoutWaiting() : budget.document();
        String stamp = term.nextStamp();
        yieldUntil = 0;
        effects.addAll(budget.put(
                current.withWaiting(stamp, term.failureDomain(), false).withSlot(stamp, index, slot), now));
    }

    /** Reserves the last free slot for loads that restore reachability, unless the budget has only one slot. */
    private boolean isReservedForUrgent(Candidate candidate, int freeSlots) {
        return freeSlots == 1 && budget.document().slots().size() > 1 && candidate.rank() > URGENT_RANK;
    }

    private boolean releaseSlot(long now, List<OrderEffect> effects) {
        for (LoadTask task : tasks) {
            if (task.isReleasable(now, term.settings())) {
                changingTask = task;
                effects.addAll(budget.put(budget.document().withSlot(term.nextStamp(), task.slot(), Slot.FREE), now));
                return true;
            }
        }
        return false;
    }

    private List<Integer> findFreeSlots() {
        List<Integer> freeSlots = new ArrayList<>();
        for (int i = 0; i < budget.document().slots().size(); i++) {
            if (Slot.isFree(budget.document().slots().get(i))) {
                freeSlots.add(i);
            }
        }
        return freeSlots;
    }

    /** Registers this failure domain as waiting if it has a load to start but no slot. */
    private void registerWaiting(long now, List<OrderEffect> effects) {
        if (tasks.isEmpty() && !isWaiting() && bestCandidate() != null) {
            nextBudgetReadAt = now + WAITING_READ_INTERVAL_MILLIS;
            effects.addAll(
                    budget.put(budget.document().withWaiting(term.nextStamp(), term.failureDomain(), true), now));
        }
    }

    private boolean isWaiting() {
        return budget.document() != null && budget.document().waiting().contains(term.failureDomain());
    }

    private record Candidate(EndpointTracker tracker, Artifact artifact, long bytes, int rank) {}

    private record ModelAndAdapter(String model, String adapter) {
        static ModelAndAdapter of(Artifact a) {
            return new ModelAndAdapter(a.model(), a.adapter());
        }
    }

    private Candidate bestCandidate() {
        Set<ModelAndAdapter> confirmed = new HashSet<>();
        Set<EndpointTracker> busy = new HashSet<>();
        for (EndpointTracker tracker : term.trackers().values()) {
            if (tracker.storedLedger().document() != null && term.desired().isUsable(tracker.endpoint())) {
                tracker.ledger().loaded().stream()
                        .filter(entry -> tracker.isConfirmed(entry.artifact()))
                        .forEach(entry -> confirmed.add(ModelAndAdapter.of(entry.artifact())));
            }
        }
        tasks.stream().filter(LoadTask::isStarting).forEach(t -> busy.add(t.tracker()));
        List<Candidate> candidates = new ArrayList<>();
        for (EndpointTracker tracker : term.trackers().values()) {
            if (tracker.isUsable() && !busy.contains(tracker) && !term.desired().isLeaving(tracker.endpoint())) {
                addCandidates(tracker, confirmed, candidates);
            }
        }
        return candidates.isEmpty()
                ? null
                : Collections.min(
                        candidates,
                        Comparator.comparingInt(Candidate::rank)
                                .thenComparing(Candidate::artifact)
                                .thenComparing(c -> c.tracker().endpoint()));
    }

    private void addCandidates(EndpointTracker tracker, Set<ModelAndAdapter> confirmed, List<Candidate> candidates) {
        DesiredState desired = term.desired();
        LedgerDocument ledger = tracker.ledger();
        for (Artifact a : term.desiredArtifacts(tracker.endpoint())) {
            long bytes = desired.bytes(a);
            if (bytes < 0
                    || !LoadTask.canLoad(term, tracker, a, bytes)
                    || ReservationLedger.hasOrder(ledger, a, Order.Action.LOAD)) {
                continue;
            }
            int rank = confirmed.contains(ModelAndAdapter.of(a))
                    ? URGENT_RANK + 1
                    : desired.remoteWitnesses(a).isEmpty() ? 0 : URGENT_RANK;
            candidates.add(new Candidate(tracker, a, bytes, rank));
        }
    }
}
