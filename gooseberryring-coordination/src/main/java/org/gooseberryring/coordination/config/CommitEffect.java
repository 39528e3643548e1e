package org.gooseberryring.coordination.config;

import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.state.ChangeRecord;

/** Action that the caller of a {@link ChangeCommitter} must carry out. */
public sealed interface CommitEffect {
    /** Sends a request to the store and passes its reply to {@link ChangeCommitter#onReply}. */
    record Call(StoreRequest request) implements CommitEffect {}

    /** Calls {@link ChangeCommitter#onTimer} at a monotonic time in milliseconds. */
    record WakeAt(long millis) implements CommitEffect {}

    /** Writes a record to the audit log. */
    record Audit(ChangeRecord record) implements CommitEffect {}

    /** Returns the result to the author of the change and ends the commit. */
    record Done(CommitResult result) implements CommitEffect {}
}
