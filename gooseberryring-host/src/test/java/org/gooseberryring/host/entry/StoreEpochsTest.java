package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.List;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class StoreEpochsTest {
    private final StoreEpochs epochs = new StoreEpochs();
    private final List<Long> notified = new ArrayList<>();

    StoreEpochsTest() {
        epochs.onChange((epoch, now) -> notified.add(epoch));
    }

    /** Guards against a restore of the store that is missed, reported twice, or undone by a delayed response. */
    @Test
    void notifiesListenersOfEachLaterEpochOnce() {
        epochs.observe(3, 0);
        epochs.observe(3, 10);
        epochs.observe(5, 20);
        epochs.observe(3, 30);
        epochs.observeRemote(4, 40);
        epochs.observeRemote(6, 50);
        assertThat(notified).containsExactly(3L, 5L, 6L).inOrder();
        assertThat(epochs.newest()).isEqualTo(6);
    }

    /** Guards against treating a reply from before a restore, or a reply without a response, as the current state. */
    @Test
    void rejectsAReplyOfAnEarlierEpoch() {
        epochs.observe(3, 0);
        StoreReply outdated = new StoreReply("k", StoreOutcome.OK, 7, null, 2);
        assertThat(epochs.rejectOutdated(outdated).outcome()).isEqualTo(StoreOutcome.UNAVAILABLE);
        StoreReply current = new StoreReply("k", StoreOutcome.OK, 7, null, 3);
        assertThat(epochs.rejectOutdated(current)).isSameInstanceAs(current);
        StoreReply unanswered = new StoreReply("k", StoreOutcome.UNKNOWN, 0, null);
        epochs.observe(unanswered, 10);
        assertThat(epochs.rejectOutdated(unanswered)).isSameInstanceAs(unanswered);
    }
}
