package org.gooseberryring.ctl.replay;

/**
 * Line of a trace: a request, or a mark if {@code fault} is given.
 *
 * @param timeMillis time since the start of the trace, in milliseconds
 * @param organisation organisation that sends the request
 * @param model requested model
 * @param adapter requested adapter, or null
 * @param promptTokens tokens of the prompt
 * @param outputTokens tokens to generate
 * @param priorityClass requested priority class, or null for the organisation's default
 * @param idempotent whether the request may run twice; if not, it carries an idempotency key
 * @param fault fault or operator change of the fleet at this time, or null for a request
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
    /** Creates a mark. */
    public static TraceLine mark(long timeMillis, String fault) {
        return new TraceLine(timeMillis, null, null, null, 0, 0, null, false, fault);
    }

    boolean request() {
        return fault == null;
    }

    /** Returns the number of tokens of the request that count towards the limits. */
    long cost() {
        return (long) promptTokens + outputTokens;
    }
}
