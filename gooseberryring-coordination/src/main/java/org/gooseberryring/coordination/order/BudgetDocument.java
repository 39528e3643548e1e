package org.gooseberryring.coordination.order;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Content of the store object {@code weights/budget}: the slots that share the capacity of the weight store.
 *
 * <p>A slot allows one load at a time and one load start per interval of concurrency divided by rate. Across all slots,
 * this enforces the concurrency limit and the rate limit without a shared clock.
 *
 * @param stamp identifier of the write
 * @param slots one slot for each concurrent load
 * @param waiting failure domains that have a load to start but no slot; a hint for the others to keep a released slot
 *     free for them
 */
public record BudgetDocument(String stamp, List<Slot> slots, SortedSet<String> waiting) implements StampedDocument {
    public BudgetDocument {
        slots = List.copyOf(slots);
        waiting = Collections.unmodifiableSortedSet(waiting == null ? new TreeSet<>() : new TreeSet<>(waiting));
    }

    /**
     * Slot of the budget.
     *
     * @param failureDomain failure domain that uses the slot, or null if it is free
     * @param endpoint endpoint that loads, or null
     * @param order order that uses the slot, or null
     */
    public record Slot(String failureDomain, String endpoint, OrderId order) {
        /** Unused slot. */
        public static final Slot FREE = new Slot(null, null, null);

        /** Returns whether the slot is unused. */
        public static boolean isFree(Slot slot) {
            return slot.failureDomain() == null;
        }
    }

    /** Returns a budget with the given number of free slots. */
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

    /** Returns a copy with a failure domain added to or removed from the waiting ones. */
    BudgetDocument withWaiting(String newStamp, String failureDomain, boolean isWaiting) {
        SortedSet<String> copy = new TreeSet<>(waiting);
        if (isWaiting) {
            copy.add(failureDomain);
        } else {
            copy.remove(failureDomain);
        }
        return new BudgetDocument(newStamp, slots, copy);
    }

    /** Returns a copy without waiting failure domains. */
    BudgetDocument withoutWaiting() {
        return new BudgetDocument(stamp, slots, null);
    }

    /** Returns whether any failure domain other than the given one is waiting. */
    boolean hasOtherWaiting(String failureDomain) {
        return waiting.stream().anyMatch(domain -> !domain.equals(failureDomain));
    }
}
