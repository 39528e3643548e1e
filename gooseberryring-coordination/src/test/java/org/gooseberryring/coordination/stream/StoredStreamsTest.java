package org.gooseberryring.coordination.stream;

import java.util.List;
import java.util.Set;
import java.util.TreeMap;

import org.gooseberryring.coordination.feed.FeedItem;
import org.gooseberryring.coordination.feed.FeedPage;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StorePosition;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class StoredStreamsTest {
    private static final int HOSTS = 3;

    private final StoredStreams stored = new StoredStreams("streams", "h1", table -> new byte[0]);

    /** Guards against a restarted host that removes what it wrote before from the store, before it has adopted it. */
    @Test
    void writesNothingBeforeItHasAdoptedItsOwnTable() {
        assertThat(stored.startRead(HOSTS, 0)).isTrue();
        List<StoredStreams.ReadTable> read = stored.onPage(page(item("h1", 7, table(1)), item("h2", 8, table(2))));
        assertThat(read)
                .containsExactly(
                        new StoredStreams.ReadTable(table(1), true), new StoredStreams.ReadTable(table(2), false));
        stored.setTable(StreamTable.NONE);
        assertThat(stored.nextWrite(HOSTS, 10)).isNull();

        stored.onAdopted();
        stored.setTable(table(1, 3));

        assertThat(stored.nextWrite(HOSTS, 20).expectedVersion()).isEqualTo(7);
    }

    /** Guards against writes that follow each other although nothing is new, and against ones that are given up. */
    @Test
    void writesWhatIsNewAndRepeatsAWriteThatFailed() {
        start();
        stored.setTable(table(1));
        assertThat(stored.nextWrite(HOSTS, 0).expectedVersion()).isEqualTo(StoreRequest.Put.ABSENT);
        stored.onWritten(reply(StoreOutcome.OK, 4), 10);
        assertThat(stored.nextWrite(HOSTS, 1_000)).isNull();

        stored.setTable(table(1, 2));
        assertThat(stored.nextWrite(HOSTS, 1_000).expectedVersion()).isEqualTo(4);
        stored.onWritten(reply(StoreOutcome.UNAVAILABLE, 0), 1_010);
        assertThat(stored.nextWrite(HOSTS, 2_000).expectedVersion()).isEqualTo(4);
        stored.onWritten(reply(StoreOutcome.UNKNOWN, 0), 2_010);
        assertThat(stored.nextWrite(HOSTS, 3_000)).isNull();
        assertThat(stored.startRead(HOSTS, 3_000)).isTrue();
        stored.onPage(page(item("h1", 5, table(1, 2))));
        assertThat(stored.nextWrite(HOSTS, 4_000)).isNull();

        stored.setTable(StreamTable.NONE);
        assertThat(stored.nextWrite(HOSTS, 5_000).expectedVersion()).isEqualTo(5);
    }

    /** Guards against a read that began before a write and takes its result back. */
    @Test
    void readThatIsOlderThanTheLastWriteChangesNothing() {
        start();
        stored.onStreamUnknown();
        assertThat(stored.startRead(HOSTS, 500)).isTrue();
        stored.setTable(table(1));
        stored.nextWrite(HOSTS, 500);
        stored.onWritten(reply(StoreOutcome.OK, 6), 510);

        stored.onPage(page());

        assertThat(stored.nextWrite(HOSTS, 2_000)).isNull();
        stored.setTable(table(1, 2));
        assertThat(stored.nextWrite(HOSTS, 2_000).expectedVersion()).isEqualTo(6);
    }

    private void start() {
        stored.startRead(HOSTS, 0);
        stored.onPage(page());
        stored.onAdopted();
    }

    private static StoreReply reply(StoreOutcome outcome, long version) {
        return new StoreReply("streams/h1", outcome, version, null);
    }

    private static FeedItem<StreamTable> item(String name, long revision, StreamTable table) {
        return new FeedItem<>(name, revision, table);
    }

    @SafeVarargs
    private static FeedPage<StreamTable> page(FeedItem<StreamTable>... items) {
        return new FeedPage<>(List.of(items), false, new StorePosition(1, 9));
    }

    private static StreamTable table(Long... keys) {
        TreeMap<String, Set<Long>> versions = new TreeMap<>();
        versions.put("v1", Set.of(keys));
        versions.put("v2", Set.of());
        StreamTable table = new StreamTable(new TreeMap<>());
        table.services().put("s", versions);
        return table;
    }

    private static StreamTable table(int... keys) {
        Long[] boxed = new Long[keys.length];
        for (int i = 0; i < keys.length; i++) {
            boxed[i] = (long) keys[i];
        }
        return table(boxed);
    }
}
