package org.gooseberryring.transport.http;

/**
 * Bytes that the connections of a process may buffer at once.
 *
 * @param requests room for the bodies of requests, by organisation
 */
public record BufferBudget(SharedRoom requests) {
    /** Part of the heap; the rest is for the process itself, responses, and bodies of a size that does not count. */
    private static final int HEAP_PARTS = 4;

    /** Quarters of the room that one organisation may take. */
    private static final int OWNER_QUARTERS = 3;

    /** Returns the budget of a process with a heap of at most the given size. */
    public static BufferBudget ofHeap(long heapBytes) {
        long bytes = heapBytes / HEAP_PARTS;
        return new BufferBudget(new SharedRoom(bytes, bytes / 4 * OWNER_QUARTERS));
    }
}
