package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.List;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class StoreEpochsTest {
    private final StoreEpochs epochs = new StoreEpochs();
    private final List<Long> heard = new ArrayList<>();

    StoreEpochsTest() {
        epochs.onChange((epoch, now) -> heard.add(epoch));
    }

    /** Guards against a return of the store that is missed, told twice, or undone by a late answer. */
    @Test
    void tellsEachLaterEpochOnce() {
        epochs.seen(3, 0);
        epochs.seen(3, 10);
        epochs.seen(5, 20);
        epochs.seen(3, 30);
        epochs.heard(4, 40);
        epochs.heard(6, 50);
        assertThat(heard).containsExactly(3L, 5L, 6L).inOrder();
        assertThat(epochs.newest()).isEqualTo(6);
    }

    /** Guards against a reply from before a return that is taken for the present state, and one without an answer. */
    @Test
    void aReplyOfAnEarlierEpochDoesNotCount() {
        epochs.seen(3, 0);
        StoreReply late = new StoreReply("k", StoreOutcome.OK, 7, null, 2);
        assertThat(epochs.current(late).outcome()).isEqualTo(StoreOutcome.UNAVAILABLE);
        StoreReply present = new StoreReply("k", StoreOutcome.OK, 7, null, 3);
        assertThat(epochs.current(present)).isSameInstanceAs(present);
        StoreReply unanswered = new StoreReply("k", StoreOutcome.UNKNOWN, 0, null);
        epochs.seen(unanswered, 10);
        assertThat(epochs.current(unanswered)).isSameInstanceAs(unanswered);
    }
}
