package org.gooseberryring.coordination.config;

import java.util.List;

/** What became of an administrative change. */
public sealed interface CommitResult {
    /**
     * The change is in the store.
     *
     * @param revision revision that it produced
     * @param head document in the store that contains it, possibly with later changes
     * @param version store version of that document
     */
    record Committed(long revision, HeadDocument head, long version) implements CommitResult {}

    /**
     * Another change came first; this one is not applied.
     *
     * @param currentRevision revision in force
     */
    record Conflict(long currentRevision) implements CommitResult {}

    /**
     * The change is not acceptable and is not applied.
     *
     * @param faults every fault that was found
     */
    record Refused(List<ChangeError> faults) implements CommitResult {}

    /** The store did not take the change; it is not applied. */
    record Unavailable() implements CommitResult {}

    /** The store may have taken the change and could not be asked until the deadline. */
    record Unresolved() implements CommitResult {}
}
