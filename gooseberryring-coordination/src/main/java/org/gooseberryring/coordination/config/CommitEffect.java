package org.gooseberryring.coordination.config;

import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.state.ChangeRecord;

/** What the owner of a {@link ChangeCommitter} has to do. */
public sealed interface CommitEffect {
    /** Sends a call to the store and hands its reply to {@link ChangeCommitter#onReply}. */
    record Call(StoreRequest request) implements CommitEffect {}

    /** Calls {@link ChangeCommitter#onTimer} at a monotonic time in milliseconds. */
    record WakeAt(long millis) implements CommitEffect {}

    /** Writes a record to the audit log. */
    record Audit(ChangeRecord record) implements CommitEffect {}

    /** Answers the author of the change; the committer is finished. */
    record Done(CommitResult result) implements CommitEffect {}
}
