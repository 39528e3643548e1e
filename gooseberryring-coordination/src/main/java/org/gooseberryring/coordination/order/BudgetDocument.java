package org.gooseberryring.coordination.order;

import java.util.ArrayList;
import java.util.List;

/**
 * Content of the store object {@code weights/budget}: the slots that divide the weight store.
 *
 * <p>A slot allows one load at a time and one start in each interval of concurrency divided by rate. Over all slots
 * this keeps both limits without a common clock.
 *
 * @param stamp identifier of the write
 * @param slots one slot for each concurrent load
 */
public record BudgetDocument(String stamp, List<Slot> slots) implements Stamped {
    public BudgetDocument {
        slots = List.copyOf(slots);
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
    public static BudgetDocument free(int slots) {
        List<Slot> list = new ArrayList<>();
        for (int i = 0; i < slots; i++) {
            list.add(Slot.FREE);
        }
        return new BudgetDocument("", list);
    }

    /** Returns a copy with one slot replaced. */
    BudgetDocument with(String newStamp, int index, Slot slot) {
        List<Slot> copy = new ArrayList<>(slots);
        copy.set(index, slot);
        return new BudgetDocument(newStamp, copy);
    }
}
