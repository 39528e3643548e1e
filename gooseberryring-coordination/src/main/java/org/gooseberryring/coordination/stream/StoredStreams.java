package org.gooseberryring.coordination.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gooseberryring.coordination.feed.FeedItem;
import org.gooseberryring.coordination.feed.FeedPage;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;

/**
 * Streams of all hosts in a collection of the store, so that hosts know them after others were killed.
 *
 * <p>Each host writes an object of its own while a service has several software versions, a few times a second at most. It
 * reads all objects when it starts and when a caller takes up a stream that it does not know. A host that was restarted
 * writes nothing before it has adopted what it wrote before. At most one read and one write are in flight.
 */
public final class StoredStreams {
    private static final long MIN_WRITE_INTERVAL_MILLIS = 250;

    /** Additional interval for each host, so that all hosts together make a bounded number of writes per second. */
    private static final long WRITE_INTERVAL_MILLIS_PER_HOST = 20;

    private static final long MIN_READ_INTERVAL_MILLIS = 50;

    /** Additional interval for each host, so that all hosts together make a bounded number of reads per second. */
    private static final long READ_INTERVAL_MILLIS_PER_HOST = 2;

    private static final long RETRY_MILLIS = 500;

    private final String collection;
    private final String host;
    private final StreamTableCodec codec;
    private final Map<String, Long> revisions = new HashMap<>();
    private boolean isReadWanted = true;
    private boolean isReading;
    private boolean isOwnSeen;
    private boolean isVersionKnown;
    private boolean isWriting;
    private boolean isAdopted;
    private String after = "";
    private long nextReadAt = Long.MIN_VALUE;
    private long nextWriteAt = Long.MIN_VALUE;
    private long version = StoreRequest.Put.ABSENT;
    private StreamTable table;
    private StreamTable stored = StreamTable.NONE;
    private StreamTable pending = StreamTable.NONE;

    /**
     * Table that was read.
     *
     * @param table streams of a host
     * @param own whether this host has written it
     */
    public record ReadTable(StreamTable table, boolean own) {}

    /** Creates the state of a host that has not read the collection yet. */
    public StoredStreams(String collection, String host, StreamTableCodec codec) {
        this.collection = collection;
        this.host = host;
        this.codec = codec;
    }

    /** Requests a read, because a caller takes up a stream that this host does not know. */
    public void onStreamUnknown() {
        isReadWanted = true;
    }

    /** Sets the streams that the store must have. */
    public void setTable(StreamTable current) {
        if (isAdopted) {
            table = current;
        }
    }

    /** Records that the tables of the first read are part of the tables that are set from now on. */
    public void onAdopted() {
        isAdopted = true;
    }

    /**
     * Starts a read if one is due; returns whether it is.
     *
     * @param hosts number of hosts
     */
    public boolean startRead(int hosts, long now) {
        if (!isReadWanted || isReading || now < nextReadAt) {
            return false;
        }
        isReadWanted = false;
        isReading = true;
        isOwnSeen = false;
        after = "";
        nextReadAt = now + MIN_READ_INTERVAL_MILLIS + hosts * READ_INTERVAL_MILLIS_PER_HOST;
        return true;
    }

    /** Returns the name after which the next page of the read starts, empty for the first one. */
    public String after() {
        return after;
    }

    /** Handles a page of a read; returns the tables that have changed since they were last read. */
    public List<ReadTable> onPage(FeedPage<StreamTable> page) {
        List<ReadTable> changed = new ArrayList<>();
        for (FeedItem<StreamTable> item : page.items()) {
            after = item.name();
            Long known = revisions.put(item.name(), item.revision());
            boolean isOwn = item.name().equals(host);
            if (isOwn) {
                onOwn(item);
            }
            boolean isNew = known == null || known != item.revision();
            if (isNew && item.value() != null && (!isOwn || !isAdopted)) {
                changed.add(new ReadTable(item.value(), isOwn));
            }
        }
        if (!page.more() || page.items().isEmpty()) {
            onReadEnd();
        }
        return changed;
    }

    /** Returns whether a read has more pages. */
    public boolean isReading() {
        return isReading;
    }

    /** Handles a read without a response. */
    public void onReadFailed(long now) {
        isReading = false;
        isReadWanted = true;
        nextReadAt = now + RETRY_MILLIS;
    }

    /**
     * Returns the write that is due, null if none is.
     *
     * @param hosts number of hosts
     */
    public StoreRequest.Put nextWrite(int hosts, long now) {
        if (table == null || !isVersionKnown || isWriting || now < nextWriteAt || !needsWrite()) {
            return null;
        }
        isWriting = true;
        pending = table;
        nextWriteAt = now + Math.max(MIN_WRITE_INTERVAL_MILLIS, hosts * WRITE_INTERVAL_MILLIS_PER_HOST);
        return new StoreRequest.Put(collection + "/" + host, version, codec.encode(table));
    }

    /** Handles the reply to a write. */
    public void onWritten(StoreReply reply, long now) {
        isWriting = false;
        if (reply.outcome() == StoreOutcome.OK && isVersionKnown) {
            version = reply.version();
            stored = pending;
            return;
        }
        if (reply.outcome() != StoreOutcome.UNAVAILABLE) {
            // The version of the object is not the known one, or the write may have been executed.
            isVersionKnown = false;
            isReadWanted = true;
        }
        nextWriteAt = now + RETRY_MILLIS;
    }

    /** Handles a restore of the store from an older copy, which may lack objects or have older ones. */
    public void onStoreRestored() {
        revisions.clear();
        isVersionKnown = false;
        isReadWanted = true;
    }

    private void onReadEnd() {
        isReading = false;
        if (!isVersionKnown && !isOwnSeen && !isWriting) {
            version = StoreRequest.Put.ABSENT;
            stored = StreamTable.NONE;
        }
        isVersionKnown = true;
    }

    private void onOwn(FeedItem<StreamTable> item) {
        isOwnSeen = true;
        // The page may have been read before the last write.
        boolean isCurrent = !isVersionKnown || item.revision() >= version;
        if (!isWriting && isCurrent) {
            version = item.revision();
            stored = item.value() == null ? StreamTable.NONE : item.value();
        }
    }

    private boolean needsWrite() {
        return table.addsTo(stored) || table.isEmpty() && !stored.isEmpty();
    }
}
