package org.gooseberryring.coordination.order;

/**
 * Identifier of an order: the fencing number of its controller and a number within that term.
 *
 * @param term fencing number of the controller
 * @param sequence number of the order within its term
 */
public record OrderId(long term, long sequence) implements Comparable<OrderId> {
    /** Compares identifiers by term, then by sequence. */
    @Override
    public int compareTo(OrderId other) {
        int c = Long.compare(term, other.term);
        return c == 0 ? Long.compare(sequence, other.sequence) : c;
    }

    /** Returns {@code term-sequence}, the form used in messages. */
    @Override
    public String toString() {
        return term + "-" + sequence;
    }
}
