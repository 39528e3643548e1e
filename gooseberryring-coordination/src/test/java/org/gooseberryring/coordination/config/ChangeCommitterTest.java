package org.gooseberryring.coordination.config;

import java.util.List;
import java.util.Random;

import org.gooseberryring.coordination.placement.Planner;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.Organisation;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ChangeCommitterTest {
    private final MemoryCodec codec = new MemoryCodec();
    private final ConfigurationEditor editor = new ConfigurationEditor(new Planner());
    private HeadDocument head = HeadDocument.empty();
    private long version;

    /** Guards against a change that is reported as refused because the reply to its successful write was lost. */
    @Test
    void lostReplyIsResolvedAfterLaterChanges() {
        ChangeCommitter committer = committer("mine", 0);
        StoreRequest.Put put = firstPut(committer);
        store(put);
        committer.onReply(reply(StoreOutcome.UNKNOWN), 10);
        // 70 later changes move the record out of the head into an audit page.
        AuditPage archived = null;
        for (int i = 0; i < 70; i++) {
            ChangeCommitter other = committer("other" + i, head.configuration().revision());
            StoreRequest.Put next = firstPut(other);
            if (next.key().startsWith("audit/")) {
                archived = codec.decodePage(next.value());
                next = put(other.onReply(new StoreReply(next.key(), StoreOutcome.OK, 1, null), 0));
            }
            store(next);
        }
        assertThat(committer.onTimer(20)).hasSize(1);
        CommitEffect page = committer.onReply(headReply(), 21).get(0);

        assertThat(page).isEqualTo(new CommitEffect.Call(new StoreRequest.Read(AuditPage.key(1))));
        StoreReply pageReply = new StoreReply(AuditPage.key(1), StoreOutcome.OK, 1, codec.encodePage(archived));
        CommitResult.Committed result = (CommitResult.Committed) result(committer.onReply(pageReply, 22));
        assertThat(result.revision()).isEqualTo(1);
    }

    /** Guards against a delayed write that takes effect after the committer has read the old version back. */
    @Test
    void unknownWriteIsRetriedWhileTheOldVersionIsPresent() {
        ChangeCommitter committer = committer("mine", 0);
        StoreRequest.Put first = firstPut(committer);
        committer.onReply(reply(StoreOutcome.UNKNOWN), 10);
        committer.onTimer(200);
        StoreRequest.Put second = put(committer.onReply(headReply(), 201));
        store(first); // The first write takes effect late, so the second one conflicts.

        assertThat(second.expectedVersion()).isEqualTo(first.expectedVersion());
        committer.onReply(new StoreReply(second.key(), StoreOutcome.CONFLICT, version, null), 202);
        assertThat(result(committer.onReply(headReply(), 203))).isInstanceOf(CommitResult.Committed.class);
    }

    /** Guards against a conflict without the current revision, and against applying a change twice. */
    @Test
    void conflictReportsTheRevisionAndARepeatedChangeIsNotAppliedAgain() {
        store(firstPut(committer("mine", 0)));
        store(firstPut(committer("other", 1)));

        assertThat(resultAfterRead(committer("third", 1))).isEqualTo(new CommitResult.Conflict(2));
        assertThat(((CommitResult.Committed) resultAfterRead(committer("mine", 0))).revision())
                .isEqualTo(1);
        assertThat(((CommitResult.Committed) resultAfterRead(committer("other", ChangeSubmission.ANY_REVISION)))
                        .revision())
                .isEqualTo(2);
    }

    /** Guards against a refused change that has any effect besides its audit record. */
    @Test
    void refusedChangeProducesOnlyItsAuditRecord() {
        ChangeCommitter committer = new ChangeCommitter(
                new ChangeSubmission("x", 0, "ann", "test", List.of(new Change.WithdrawKey("no")), 5),
                editor,
                codec,
                new Random(1));
        committer.start(0);
        List<CommitEffect> effects = committer.onReply(headReply(), 1);

        assertThat(effects).hasSize(2);
        assertThat(((CommitEffect.Audit) effects.get(0)).record().accepted()).isFalse();
        assertThat(result(effects)).isInstanceOf(CommitResult.Refused.class);
    }

    private ChangeCommitter committer(String id, long revision) {
        Change change = new Change.PutOrganisation(new Organisation(id, 1, 1, 1, null));
        return new ChangeCommitter(
                new ChangeSubmission(id, revision, "ann", "test", List.of(change), 5), editor, codec, new Random(1));
    }

    private StoreRequest.Put firstPut(ChangeCommitter committer) {
        committer.start(0);
        return put(committer.onReply(headReply(), 1));
    }

    private CommitResult resultAfterRead(ChangeCommitter committer) {
        committer.start(0);
        return result(committer.onReply(headReply(), 1));
    }

    private void store(StoreRequest.Put put) {
        assertThat(put.expectedVersion()).isEqualTo(version);
        head = codec.decodeHead(put.value());
        version++;
    }

    private StoreReply headReply() {
        return version == 0
                ? reply(StoreOutcome.ABSENT)
                : new StoreReply(ChangeCommitter.HEAD_KEY, StoreOutcome.OK, version, codec.encodeHead(head));
    }

    private static StoreReply reply(StoreOutcome outcome) {
        return new StoreReply(ChangeCommitter.HEAD_KEY, outcome, 0, null);
    }

    private static StoreRequest.Put put(List<CommitEffect> effects) {
        return (StoreRequest.Put) ((CommitEffect.Call) effects.get(0)).request();
    }

    private static CommitResult result(List<CommitEffect> effects) {
        return ((CommitEffect.Done) effects.get(effects.size() - 1)).result();
    }
}
