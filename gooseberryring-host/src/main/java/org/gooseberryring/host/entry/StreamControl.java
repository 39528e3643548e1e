package org.gooseberryring.host.entry;

import java.util.List;
import java.util.Set;

import org.gooseberryring.coordination.feed.FeedPage;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.coordination.stream.StoredStreams;
import org.gooseberryring.coordination.stream.StreamTable;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.control.StoreCallExecutor;
import org.gooseberryring.host.log.LogLine;
import org.jboss.logging.Logger;

/** Reads the streams of all hosts from the store and writes those of this host, on the control thread. */
final class StreamControl {
    /** Collection with an object for each host. */
    static final String STREAMS = "streams";

    private static final Logger LOG = Logger.getLogger(StreamControl.class);

    private final CollectionSource<StreamTable> source;
    private final StoreCallExecutor storeExecutor;
    private final ControlLoop control;
    private final EntryRequests requests;
    private final PeerExchange exchange;
    private final StoreEpochs epochs;
    private final StoredStreams stored;
    private final CoalescedTask reader;
    private Set<String> mixedServices = Set.of();
    private boolean isFirstRead = true;

    StreamControl(
            String hostId,
            CollectionSource<StreamTable> source,
            StoreCallExecutor storeExecutor,
            ControlLoop control,
            EntryRequests requests,
            PeerExchange exchange,
            StoreEpochs epochs) {
        this.source = source;
        this.storeExecutor = storeExecutor;
        this.control = control;
        this.requests = requests;
        this.exchange = exchange;
        this.epochs = epochs;
        stored = new StoredStreams(STREAMS, hostId, StreamCodec::encode);
        reader = new CoalescedTask(control::put, this::readUnknown);
        epochs.onChange((epoch, now) -> stored.onStoreRestored());
    }

    /** Makes the store calls that are due. */
    void tick(long now) {
        StreamTable table = exchange.streams();
        logServices(table);
        stored.setTable(table);
        if (stored.startRead(hosts(now), now)) {
            readPage();
        }
        StoreRequest.Put write = stored.nextWrite(hosts(now), now);
        if (write != null) {
            storeExecutor.submit(
                    write,
                    reply -> control.put(at -> {
                        epochs.observe(reply, at);
                        stored.onWritten(epochs.rejectOutdated(reply), at);
                    }));
        }
    }

    /** Reads the streams because a caller takes up one that this host does not know; may be called on any thread. */
    void read() {
        reader.request();
    }

    private void readUnknown(long now) {
        stored.onStreamUnknown();
        tick(now);
    }

    private int hosts(long now) {
        return exchange.registeredHosts(now) + 1;
    }

    private void readPage() {
        source.list(stored.after(), false)
                .whenComplete((page, failure) -> control.put(now -> {
                    if (page == null) {
                        stored.onReadFailed(now);
                    } else {
                        onPage(page, now);
                    }
                }));
    }

    private void onPage(FeedPage<StreamTable> page, long now) {
        epochs.observe(page.at().epoch(), now);
        if (page.at().epoch() < epochs.newest()) {
            stored.onReadFailed(now);
            return;
        }
        List<StoredStreams.ReadTable> changed = stored.onPage(page);
        boolean isComplete = !stored.isReading();
        requests.onStreamsRead(changed, isComplete);
        if (!isComplete) {
            readPage();
        } else if (isFirstRead) {
            isFirstRead = false;
            requests.loop().after(() -> control.put(at -> stored.onAdopted()));
        }
    }

    private void logServices(StreamTable table) {
        Set<String> mixed = table.services().keySet();
        if (!mixed.equals(mixedServices)) {
            mixedServices = Set.copyOf(mixed);
            LogLine.event("software-versions")
                    .with(
                            "services",
                            table.services().entrySet().stream()
                                    .map(each -> each.getKey() + ":"
                                            + each.getValue().keySet())
                                    .toList())
                    .info(LOG);
        }
    }
}
