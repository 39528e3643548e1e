package org.gooseberryring.coordination.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.gooseberryring.coordination.store.StorePosition;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CollectionFeedTest {
    private static final FeedTimes TIMES = new FeedTimes(2_000, 200, 2_700, 0, 100, 800, 700, 1_900, 1_900, 3_600);

    private static final long EPOCH = 1;

    private final Map<String, String> known = new TreeMap<>();
    private final List<Boolean> contacts = new ArrayList<>();
    private long epoch = EPOCH;
    private long lastCall;
    private final CollectionFeed<String> feed = new CollectionFeed<>(TIMES, new Recorder(), new SplittableRandom(7), 0);

    private final class Recorder implements FeedListener<String> {
        @Override
        public void onChanged(String name, String value, long now) {
            known.put(name, value);
        }

        @Override
        public void onRemoved(String name, long now) {
            known.remove(name);
        }

        @Override
        public void onContactChanged(boolean inContact, long now) {
            contacts.add(inContact);
        }
    }

    /** Guards against a collection of several pages of which only the last one is applied. */
    @Test
    void listsAllPagesAndWatchesFromTheRevisionOfTheFirst() {
        FeedCall first = only(feed.onTick(0));
        FeedCall second = only(feed.onPage(first.id(), page(true, 10, item("a", 3, "A")), 5));
        assertThat(second).isEqualTo(new FeedCall.ListPage(second.id(), "a", false));
        FeedCall watch = only(feed.onPage(second.id(), page(false, 12, item("b", 11, "B")), 10));
        assertThat(watch).isEqualTo(new FeedCall.Watch(watch.id(), new StorePosition(EPOCH, 10), 2_000, false));
        assertThat(known).containsExactly("a", "A", "b", "B");
    }

    /** Guards against a pause between two calls that counts as changes which are not known. */
    @Test
    void isCurrentWhileTheStoreRespondsWithinItsWait() {
        assertThat(feed.isCurrent(0)).isFalse();
        long id = listed(0, 10, item("a", 9, "A"));
        assertThat(feed.isCurrent(2_400)).isTrue();
        assertThat(feed.isCurrent(2_600)).isFalse();
        feed.onChanges(id, changes(11), 2_650);
        assertThat(feed.isCurrent(2_700)).isTrue();
    }

    /** Guards against a stale response that restores older content. */
    @Test
    void ignoresChangesOlderThanTheKnownState() {
        long id = listed(0, 10, item("a", 9, "new"));
        feed.onChanges(id, changes(11, changed("a", 4, "old")), 20);
        assertThat(known).containsExactly("a", "new");
    }

    /** Guards against a list from an older state of the store that removes newer objects. */
    @Test
    void ignoresAListOlderThanTheWatchedRevision() {
        long id = listed(0, 10, item("a", 9, "A"));
        FeedCall next = only(feed.onChanges(id, changes(15, changed("b", 14, "B")), 20));
        FeedCall list = only(feed.onHistoryGone(next.id(), 30));
        assertThat(feed.onPage(list.id(), page(false, 12, item("a", 9, "A")), 40))
                .isEmpty();
        assertThat(known).containsExactly("a", "A", "b", "B");
    }

    /** Guards against keeping objects that were removed while the history was not available. */
    @Test
    void removesMissingObjectsAfterHistoryLoss() {
        long id = listed(0, 10, item("a", 9, "A"), item("b", 9, "B"));
        FeedCall list = only(feed.onHistoryGone(id, 20));
        feed.onPage(list.id(), page(false, 20, item("b", 9, "B")), 25);
        assertThat(known).containsExactly("b", "B");
    }

    /** Guards against removing endpoints whose entries expired during an outage of the store. */
    @Test
    void keepsMissingObjectsForTheGraceTimeAfterAnOutage() {
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
        // Both entries are removed immediately after the outage, and one endpoint writes its entry again.
        long watch = retry.id() + 1;
        feed.onChanges(watch, changes(14, removed("a"), removed("b")), back + 100);
        feed.onChanges(watch + 1, changes(16, changed("b", 16, "B2")), back + 900);
        assertThat(known).containsExactly("a", "A", "b", "B2");
        feed.onTick(back + 2_000);
        assertThat(known).containsExactly("b", "B2");
    }

    /** Guards against applying the response to a call that has already failed. */
    @Test
    void ignoresResponsesToFailedCalls() {
        long id = listed(0, 10, item("a", 9, "A"));
        feed.onFailed(id, 3_000);
        assertThat(feed.onChanges(id, changes(20, removed("a")), 3_010)).isEmpty();
        assertThat(known).containsExactly("a", "A");
    }

    /** Guards against ignoring a store restored from an older copy forever because of its lower revisions. */
    @Test
    void acceptsTheListOfARestoredStoreWithALowerRevision() {
        long id = listed(0, 100, item("a", 90, "lost"), item("b", 10, "B"));
        epoch++;
        FeedCall list = only(feed.onChanges(id, changes(40), 20));
        assertThat(list).isEqualTo(new FeedCall.ListPage(list.id(), "", false));
        FeedCall watch = only(feed.onPage(list.id(), page(false, 40, item("a", 30, "old"), item("b", 10, "B")), 30));
        assertThat(watch).isEqualTo(new FeedCall.Watch(watch.id(), new StorePosition(epoch, 40), 2_000, false));
        assertThat(known).containsExactly("a", "old", "b", "B");
    }

    /** Guards against changes that are missed because a reused revision seems to be known. */
    @Test
    void listsAgainWhenAWatchReturnsAnotherEpoch() {
        long id = listed(0, 100, item("a", 90, "A"));
        epoch++;
        FeedCall list = only(feed.onChanges(id, changes(103, changed("b", 102, "B")), 20));
        assertThat(list).isInstanceOf(FeedCall.ListPage.class);
        feed.onPage(list.id(), page(false, 103, item("a", 99, "A2"), item("b", 102, "B")), 30);
        assertThat(known).containsExactly("a", "A2", "b", "B");
    }

    /** Guards against a delayed response from before a restore that is treated as the current state. */
    @Test
    void ignoresAResponseOfAnEarlierEpoch() {
        listed(0, 100, item("a", 90, "A"));
        feed.onEpoch(EPOCH + 1, 20);
        FeedCall list = only(feed.onTick(400));
        assertThat(feed.onPage(list.id(), page(false, 120, item("a", 110, "late")), 410))
                .isEmpty();
        assertThat(known).containsExactly("a", "A");
        epoch++;
        FeedCall again = only(feed.onTick(2_000));
        feed.onPage(again.id(), page(false, 95, item("a", 94, "A3")), 2_010);
        assertThat(known).containsExactly("a", "A3");
    }

    /** Guards against a list that combines pages from before and after a restore. */
    @Test
    void restartsTheListWhenItsPagesAreOfTwoEpochs() {
        FeedCall first = only(feed.onTick(0));
        FeedCall second = only(feed.onPage(first.id(), page(true, 100, item("a", 90, "A"), item("gone", 95, "G")), 5));
        epoch++;
        FeedCall again = only(feed.onPage(second.id(), page(false, 40, item("z", 30, "Z")), 10));
        assertThat(again).isEqualTo(new FeedCall.ListPage(again.id(), "", false));
        feed.onPage(again.id(), page(false, 41, item("a", 20, "A"), item("z", 30, "Z")), 15);
        assertThat(known).containsExactly("a", "A", "z", "Z");
    }

    /** Guards against removing objects that an older copy does not contain before their owners write them again. */
    @Test
    void keepsObjectsMissingInAnOlderCopyForTheGraceTime() {
        long id = listed(0, 100, item("a", 90, "A"), item("b", 95, "B"));
        restore(id, 40, 1_000);
        assertThat(known).containsExactly("a", "A", "b", "B");
        long watch = openWatch();
        feed.onChanges(watch, changes(42, changed("b", 42, "B2")), 1_900);
        feed.onTick(2_950);
        assertThat(known).containsExactly("b", "B2");
    }

    /** Guards against using a removed endpoint again because an older copy of the store lists it. */
    @Test
    void acceptsAReappearedObjectOnlyIfItDoesNotExpire() {
        long id = listed(0, 100, item("a", 90, "A"), item("b", 95, "B"), item("c", 95, "C"));
        id = only(feed.onChanges(id, changes(102, removed("a"), removed("b"), removed("c")), 1_000))
                .id();
        restore(id, 96, 2_000, item("a", 90, "A"), item("b", 95, "B"), item("c", 95, "C"));
        assertThat(known).isEmpty();
        long watch = openWatch();
        watch = only(feed.onChanges(watch, changes(98, changed("b", 97, "B2"), removed("a")), 3_000))
                .id();
        assertThat(known).containsExactly("b", "B2");
        // The entry would have expired by 5,600, so the response to a call that was sent earlier is not conclusive.
        for (long now = 4_000; now <= 6_000; now += 1_000) {
            watch = only(feed.onChanges(watch, changes(98), now)).id();
        }
        assertThat(known).containsExactly("b", "B2");
        feed.onChanges(watch, changes(98), 7_000);
        assertThat(known).containsExactly("b", "B2", "c", "C");
    }

    /**
     * Guards against a host that calls the store itself for each change, because the store position of the relay has
     * advanced by changes of other collections since the last one.
     */
    @Test
    void appliesARelayedChangeAfterChangesOfOtherCollections() {
        CollectionFeed<String> relay = new CollectionFeed<>(TIMES, new Recorder(), new SplittableRandom(8), 0);
        FeedCall list = only(relay.onTick(0));
        FeedCall watch = only(relay.onPage(list.id(), page(false, 100, item("a", 90, "A")), 0));
        long id = listed(0, 100, item("a", 90, "A"));
        feed.follow(relay.position(10), 10);
        feed.onFailed(id, 10);

        watch = only(relay.onChanges(watch.id(), changes(150), 2_000));
        FeedChanges<String> next = changes(152, changed("b", 152, "B"));
        StorePosition from = relay.relayableFrom(watch.id(), next);
        relay.onChanges(watch.id(), next, 2_100);
        known.remove("b");
        feed.onRelayedChanges(from, next, 2_200);

        assertThat(known).containsExactly("a", "A", "b", "B");
        feed.follow(relay.position(2_300), 2_300);
        assertThat(feed.onTick(2_700)).isEmpty();
    }

    /** Guards against calls of all hosts while a busy relay passes changes on but is late with its positions. */
    @Test
    void callsNothingWhileChangesArrive() {
        long id = listed(0, 100, item("a", 90, "A"));
        FeedPosition position = new FeedPosition(new StorePosition(EPOCH, 100), true, true, 0);
        feed.follow(position, 20);
        feed.onFailed(id, 20);
        for (long now = 100; now < 8_000; now += 100) {
            feed.follow(position, now);
            long revision = 100 + now / 100;
            feed.onRelayedChanges(
                    new StorePosition(EPOCH, revision - 1), changes(revision, changed("a", revision, "A")), now);
            assertThat(feed.onTick(now)).isEmpty();
        }
    }

    /** Guards against a call a few times a second, in place of a long wait, while the ticks of a host are late. */
    @Test
    void waitsForChangesAlthoughItsTicksAreLate() {
        FeedTimes times = new FeedTimes(2_000, 200, 2_700, 300, 100, 800, 700, 1_900, 1_900, 3_600);
        CollectionFeed<String> pausing = new CollectionFeed<>(times, new Recorder(), new SplittableRandom(9), 0);
        FeedCall list = only(pausing.onTick(0));
        FeedCall watch = only(pausing.onPage(list.id(), page(false, 100, item("a", 90, "A")), 5));
        assertThat(pausing.onChanges(watch.id(), changes(101, changed("a", 101, "A2")), 50))
                .isEmpty();
        assertThat(only(pausing.onTick(900)).waitMillis()).isEqualTo(2_000);
    }

    /** Guards against a relay that sends changes of an earlier epoch as if they were of the current one. */
    @Test
    void doesNotRelayChangesOfAnEarlierEpoch() {
        long id = listed(0, 100, item("a", 90, "A"));
        FeedChanges<String> delayed = changes(120, changed("b", 119, "B"));
        assertThat(feed.relayableFrom(id, delayed)).isEqualTo(new StorePosition(EPOCH, 100));
        feed.onEpoch(EPOCH + 1, 20);
        assertThat(feed.relayableFrom(id, delayed)).isNull();
        epoch++;
        long second = listed(400, 110, item("a", 90, "A"));
        assertThat(feed.relayableFrom(second, delayed)).isNull();
        assertThat(feed.relayableFrom(second, changes(110))).isNull();
    }

    /** Guards against delayed relayed changes that restore a removed object or remove one that was written again. */
    @Test
    void ignoresRelayedChangesOlderThanItsOwnState() {
        long id = listed(0, 100, item("b", 99, "B2"));
        feed.follow(new FeedPosition(new StorePosition(EPOCH, 100), true, true, 10), 10);
        feed.onFailed(id, 10);
        FeedChanges.Change<String> oldRemoval = new FeedChanges.Change<>(item("b", 95, null), true);
        feed.onRelayedChanges(new StorePosition(EPOCH, 90), changes(101, changed("a", 94, "gone"), oldRemoval), 20);
        assertThat(known).containsExactly("b", "B2");
    }

    /** Guards against a new configuration that a late host has received from its relay and does not put in force. */
    @Test
    void appliesANewerObjectOfARelayAlthoughEarlierChangesAreMissing() {
        long id = listed(0, 100, item("a", 90, "A"), item("b", 90, "B"));

        feed.onRelayedChanges(
                new StorePosition(EPOCH, 150),
                changes(160, changed("a", 155, "A2"), changed("c", 156, "C"), removed("b")),
                1_000);

        assertThat(known).containsExactly("a", "A2", "b", "B", "c", "C");
        FeedCall next = only(feed.onChanges(id, changes(120, changed("a", 110, "A1"), removed("c")), 2_000));
        assertThat(known).containsExactly("a", "A2", "b", "B", "c", "C");
        FeedCall list = only(feed.onHistoryGone(next.id(), 2_100));
        FeedCall watch = only(feed.onPage(list.id(), page(false, 140, item("a", 110, "A1")), 2_200));
        assertThat(known).containsExactly("a", "A2", "c", "C");
        feed.onChanges(watch.id(), changes(170, removed("c")), 2_300);
        assertThat(known).containsExactly("a", "A2");
    }

    /** Guards against comparing the revisions of a relay and a host that are in different epochs. */
    @Test
    void followsOnlyARelayOfTheSameEpoch() {
        long id = listed(0, 100, item("a", 90, "A"));
        feed.follow(new FeedPosition(new StorePosition(EPOCH, 100), true, true, 10), 10);
        feed.onFailed(id, 10);
        epoch++;
        feed.onRelayedChanges(new StorePosition(epoch, 90), changes(120, changed("a", 119, "wrong")), 20);
        assertThat(known).containsExactly("a", "A");
        feed.follow(new FeedPosition(new StorePosition(epoch, 90), true, true, 30), 30);
        FeedCall list = only(feed.onTick(1_000));
        feed.onPage(list.id(), page(false, 90, item("a", 80, "A0")), 1_010);
        assertThat(known).containsExactly("a", "A0");
        feed.follow(new FeedPosition(new StorePosition(EPOCH, 200), true, true, 1_020), 1_020);
        assertThat(feed.onTick(1_100)).hasSize(1);
    }

    /** Responds to an open watch with a later epoch, and to the following list call with the given objects. */
    @SafeVarargs
    private final void restore(long watch, long revision, long now, FeedItem<String>... items) {
        epoch++;
        FeedCall list = only(feed.onChanges(watch, changes(revision), now));
        feed.onPage(list.id(), page(false, revision, items), now);
        lastCall = list.id() + 1;
    }

    private long openWatch() {
        return lastCall;
    }

    @SafeVarargs
    private final long listed(long now, long revision, FeedItem<String>... items) {
        FeedCall list = only(feed.onTick(now));
        return only(feed.onPage(list.id(), page(false, revision, items), now)).id();
    }

    @SafeVarargs
    private final FeedPage<String> page(boolean more, long revision, FeedItem<String>... items) {
        return new FeedPage<>(List.of(items), more, new StorePosition(epoch, revision));
    }

    @SafeVarargs
    private final FeedChanges<String> changes(long revision, FeedChanges.Change<String>... changes) {
        return new FeedChanges<>(List.of(changes), new StorePosition(epoch, revision));
    }

    private static FeedChanges.Change<String> changed(String name, long revision, String value) {
        return new FeedChanges.Change<>(item(name, revision, value), false);
    }

    private static FeedChanges.Change<String> removed(String name) {
        return new FeedChanges.Change<>(item(name, Long.MAX_VALUE, null), true);
    }

    private static FeedItem<String> item(String name, long revision, String value) {
        return new FeedItem<>(name, revision, value);
    }

    private static FeedCall only(List<FeedCall> calls) {
        assertThat(calls).hasSize(1);
        return calls.get(0);
    }
}
