package org.gooseberryring.ctl.replay;

/**
 * Line of a trace: a request, or a mark if {@code fault} is given.
 *
 * @param timeMillis time since the start of the trace, in milliseconds
 * @param organisation organisation that sends the request
 * @param model model that it names
 * @param adapter adapter that it names, or null
 * @param promptTokens tokens of the prompt
 * @param outputTokens tokens to generate
 * @param priorityClass class that it names, or null for the organisation's default
 * @param idempotent whether it may run twice; if not, it carries an idempotency key
 * @param fault description of what happens to the fleet at this time, or null for a request
 */
public record TraceLine(
        long timeMillis,
        String organisation,
        String model,
        String adapter,
        int promptTokens,
        int outputTokens,
        String priorityClass,
        boolean idempotent,
        String fault) {
    /** Returns a mark of a fault. */
    public static TraceLine mark(long timeMillis, String fault) {
        return new TraceLine(timeMillis, null, null, null, 0, 0, null, false, fault);
    }

    boolean request() {
        return fault == null;
    }

    /** Returns the tokens that the limits count for the request. */
    long cost() {
        return (long) promptTokens + outputTokens;
    }
}
