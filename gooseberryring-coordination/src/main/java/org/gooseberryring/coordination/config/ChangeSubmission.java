package org.gooseberryring.coordination.config;

import java.util.List;

import org.gooseberryring.state.Change;

/**
 * Administrative change to commit.
 *
 * @param changeId unique identifier chosen by the author; a change that is submitted twice is applied once
 * @param expectedRevision revision that the change was made for, or {@link #ANY_REVISION}
 * @param actor person or component that makes the change
 * @param cause reason for the change
 * @param changes changes, applied in order and atomically
 * @param wallMillis time of the submission, in milliseconds since the Unix epoch
 */
public record ChangeSubmission(
        String changeId, long expectedRevision, String actor, String cause, List<Change> changes, long wallMillis) {
    /** Expected revision of a change that applies to any revision. */
    public static final long ANY_REVISION = -1;

    public ChangeSubmission {
        changes = List.copyOf(changes);
    }
}
