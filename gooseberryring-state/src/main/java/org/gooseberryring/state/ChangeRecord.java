package org.gooseberryring.state;

/**
 * Audit record of an accepted or refused change.
 *
 * @param changeId identifier that the author of the change chose, unique
 * @param revision revision that the change produced, or the current one if it was refused
 * @param wallMillis time of the change, in milliseconds since the Unix epoch
 * @param actor person or part of the system that made the change
 * @param cause reason given for the change
 * @param summary what was changed, one line
 * @param before value before the change, as JSON
 * @param after value after the change, as JSON
 * @param accepted whether the change took effect
 */
public record ChangeRecord(
        String changeId,
        long revision,
        long wallMillis,
        String actor,
        String cause,
        String summary,
        String before,
        String after,
        boolean accepted) {}
