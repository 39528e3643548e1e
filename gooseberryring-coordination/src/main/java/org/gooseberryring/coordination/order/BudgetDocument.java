package org.gooseberryring.coordination.order;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Content of the store object {@code weights/budget}: the slots that divide the weight store.
 *
 * <p>A slot allows one load at a time and one start in each interval of concurrency divided by rate. Over all slots
 * this keeps both limits without a common clock.
 *
 * @param stamp identifier of the write
 * @param slots one slot for each concurrent load
 * @param waiting failure domains that have a load to start and hold no slot; a hint that lets others leave one free
 */
public record BudgetDocument(String stamp, List<Slot> slots, SortedSet<String> waiting) implements StampedDocument {
    public BudgetDocument {
        slots = List.copyOf(slots);
        waiting = Collections.unmodifiableSortedSet(waiting == null ? new TreeSet<>() : new TreeSet<>(waiting));
    }

    /**
     * Slot of the budget.
     *
     * @param failureDomain failure domain that uses it, or null if it is free
     * @param endpoint endpoint that loads, or null
     * @param order order that uses it, or null
     */
    public record Slot(String failureDomain, String endpoint, OrderId order) {
        /** Slot that nobody uses. */
        public static final Slot FREE = new Slot(null, null, null);

        /** Returns whether nobody uses the slot. */
        public static boolean isFree(Slot slot) {
            return slot.failureDomain() == null;
        }
    }

    /** Returns a budget of free slots. */
    public static BudgetDocument ofFreeSlots(int slots) {
        List<Slot> list = new ArrayList<>();
        for (int i = 0; i < slots; i++) {
            list.add(Slot.FREE);
        }
        return new BudgetDocument("", list, null);
    }

    /** Returns a copy with one slot replaced. */
    BudgetDocument withSlot(String newStamp, int index, Slot slot) {
        List<Slot> copy = new ArrayList<>(slots);
        copy.set(index, slot);
        return new BudgetDocument(newStamp, copy, waiting);
    }

    /** Returns a copy in which a failure domain waits, or does so no more. */
    BudgetDocument withWaiting(String newStamp, String failureDomain, boolean isWaiting) {
        SortedSet<String> copy = new TreeSet<>(waiting);
        if (isWaiting) {
            copy.add(failureDomain);
        } else {
            copy.remove(failureDomain);
        }
        return new BudgetDocument(newStamp, slots, copy);
    }

    /** Returns a copy in which no failure domain waits. */
    BudgetDocument withoutWaiting() {
        return new BudgetDocument(stamp, slots, null);
    }

    /** Returns whether a failure domain other than the given one waits. */
    boolean hasOtherWaiting(String failureDomain) {
        return waiting.stream().anyMatch(domain -> !domain.equals(failureDomain));
    }
}
