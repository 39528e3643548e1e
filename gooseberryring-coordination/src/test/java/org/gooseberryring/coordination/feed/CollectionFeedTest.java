package org.gooseberryring.coordination.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CollectionFeedTest {
    private static final FeedTimes TIMES = new FeedTimes(2_000, 0, 100, 800, 700, 1_900);

    private final Map<String, String> known = new TreeMap<>();
    private final List<Boolean> contacts = new ArrayList<>();
    private final CollectionFeed<String> feed = new CollectionFeed<>(TIMES, new Recorder(), new SplittableRandom(7), 0);

    private final class Recorder implements FeedListener<String> {
        @Override
        public void changed(String name, String value, long now) {
            known.put(name, value);
        }

        @Override
        public void removed(String name, long now) {
            known.remove(name);
        }

        @Override
        public void contact(boolean inContact, long now) {
            contacts.add(inContact);
        }
    }

    /** Guards against a collection of several pages of which only the last is taken over. */
    @Test
    void listsAllPagesAndWatchesFromTheRevisionOfTheFirst() {
        FeedCall first = only(feed.onTick(0));
        FeedCall second = only(feed.onPage(first.id(), page(true, 10, item("a", 3, "A")), 5));
        assertThat(second).isEqualTo(new FeedCall.ListPage(second.id(), "a"));
        FeedCall watch = only(feed.onPage(second.id(), page(false, 12, item("b", 11, "B")), 10));
        assertThat(watch).isEqualTo(new FeedCall.Watch(watch.id(), 10, 2_000));
        assertThat(known).containsExactly("a", "A", "b", "B");
    }

    /** Guards against a stale answer that brings an older content back. */
    @Test
    void ignoresChangesThatAreOlderThanWhatIsKnown() {
        long id = listed(0, 10, item("a", 9, "new"));
        feed.onChanges(id, changes(11, changed("a", 4, "old")), 20);
        assertThat(known).containsExactly("a", "new");
    }

    /** Guards against a list from an older state of the store that removes newer objects. */
    @Test
    void ignoresAListThatIsOlderThanTheWatchedRevision() {
        long id = listed(0, 10, item("a", 9, "A"));
        FeedCall next = only(feed.onChanges(id, changes(15, changed("b", 14, "B")), 20));
        FeedCall list = only(feed.onHistoryGone(next.id(), 30));
        assertThat(feed.onPage(list.id(), page(false, 12, item("a", 9, "A")), 40))
                .isEmpty();
        assertThat(known).containsExactly("a", "A", "b", "B");
    }

    /** Guards against objects that stay after they were removed while the history was lost. */
    @Test
    void dropsWhatIsMissingAfterTheHistoryWasLost() {
        long id = listed(0, 10, item("a", 9, "A"), item("b", 9, "B"));
        FeedCall list = only(feed.onHistoryGone(id, 20));
        feed.onPage(list.id(), page(false, 20, item("b", 9, "B")), 25);
        assertThat(known).containsExactly("b", "B");
    }

    /** Guards against endpoints taken for gone because their entries lapsed while the store was away. */
    @Test
    void keepsWhatIsMissingForTheGraceTimeAfterAnOutage() {
        long id = listed(0, 10, item("a", 9, "A"), item("b", 9, "B"));
        feed.onFailed(id, 100);
        FeedCall retry = null;
        for (long now = 200; now <= 6_000; now += 100) {
            for (FeedCall call : feed.onTick(now)) {
                retry = call;
                if (now < 6_000) {
                    feed.onFailed(call.id(), now);
                }
            }
        }
        assertThat(contacts).containsExactly(false);
        long back = 6_100;
        if (retry == null || feed.onChanges(retry.id(), changes(10), back).isEmpty()) {
            retry = only(feed.onTick(back));
            feed.onChanges(retry.id(), changes(10), back);
        }
        assertThat(contacts).containsExactly(false, true).inOrder();
        // Both entries are removed right after the return, and one endpoint writes its entry again.
        long watch = retry.id() + 1;
        feed.onChanges(watch, changes(14, removed("a"), removed("b")), back + 100);
        feed.onChanges(watch + 1, changes(16, changed("b", 16, "B2")), back + 900);
        assertThat(known).containsExactly("a", "A", "b", "B2");
        feed.onTick(back + 2_000);
        assertThat(known).containsExactly("b", "B2");
    }

    /** Guards against a late answer to a call that was given up. */
    @Test
    void ignoresAnswersToCallsThatWereGivenUp() {
        long id = listed(0, 10, item("a", 9, "A"));
        feed.onFailed(id, 3_000);
        assertThat(feed.onChanges(id, changes(20, removed("a")), 3_010)).isEmpty();
        assertThat(known).containsExactly("a", "A");
    }

    @SafeVarargs
    private long listed(long now, long revision, FeedItem<String>... items) {
        FeedCall list = only(feed.onTick(now));
        return only(feed.onPage(list.id(), page(false, revision, items), now)).id();
    }

    @SafeVarargs
    private static FeedPage<String> page(boolean more, long revision, FeedItem<String>... items) {
        return new FeedPage<>(List.of(items), more, revision);
    }

    @SafeVarargs
    private static FeedChanges<String> changes(long revision, FeedChanges.Change<String>... changes) {
        return new FeedChanges<>(List.of(changes), revision);
    }

    private static FeedChanges.Change<String> changed(String name, long revision, String value) {
        return new FeedChanges.Change<>(item(name, revision, value), false);
    }

    private static FeedChanges.Change<String> removed(String name) {
        return new FeedChanges.Change<>(item(name, 0, null), true);
    }

    private static FeedItem<String> item(String name, long revision, String value) {
        return new FeedItem<>(name, revision, value);
    }

    private static FeedCall only(List<FeedCall> calls) {
        assertThat(calls).hasSize(1);
        return calls.get(0);
    }
}
