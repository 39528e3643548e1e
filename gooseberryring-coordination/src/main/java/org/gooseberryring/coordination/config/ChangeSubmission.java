package org.gooseberryring.coordination.config;

import java.util.List;

import org.gooseberryring.state.Change;

/**
 * Administrative change that is to be committed.
 *
 * @param changeId identifier that the author chose, unique; submitting it again does not apply it again
 * @param expectedRevision revision that the change was made for, or {@link #ANY_REVISION}
 * @param actor person or part of the system that makes the change
 * @param cause reason for the change
 * @param changes changes, applied in order, all or none
 * @param wallMillis time of the submission, in milliseconds since the Unix epoch
 */
public record ChangeSubmission(
        String changeId, long expectedRevision, String actor, String cause, List<Change> changes, long wallMillis) {
    /** Expected revision of a change that is made for whatever revision is in force. */
    public static final long ANY_REVISION = -1;

    public ChangeSubmission {
        changes = List.copyOf(changes);
    }
}
