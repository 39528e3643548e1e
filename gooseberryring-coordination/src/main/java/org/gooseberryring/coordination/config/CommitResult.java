package org.gooseberryring.coordination.config;

import java.util.List;

/** Result of an administrative change. */
public sealed interface CommitResult {
    /**
     * The change is committed to the store.
     *
     * @param revision revision that it produced
     * @param head head document that contains the change, possibly with later changes
     * @param version store version of that document
     */
    record Committed(long revision, HeadDocument head, long version) implements CommitResult {}

    /**
     * Another change was committed first; this one is not applied.
     *
     * @param currentRevision revision in force
     */
    record Conflict(long currentRevision) implements CommitResult {}

    /**
     * The change is invalid and is not applied.
     *
     * @param faults all errors that were found
     */
    record Refused(List<ChangeError> faults) implements CommitResult {}

    /** The store was not available; the change is not applied. */
    record Unavailable() implements CommitResult {}

    /** The outcome is unknown: the change may be committed, and the store could not be read before the deadline. */
    record Unresolved() implements CommitResult {}
}
