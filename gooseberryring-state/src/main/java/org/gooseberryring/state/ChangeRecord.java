package org.gooseberryring.state;

/**
 * Audit record of an accepted or rejected change.
 *
 * @param changeId unique identifier, chosen by the author of the change
 * @param revision revision that the change produced, or the current one if it was rejected
 * @param wallMillis time of the change, in milliseconds since the Unix epoch
 * @param actor person or component of the system that requested the change
 * @param cause reason given for the change
 * @param summary one-line summary of the change
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
