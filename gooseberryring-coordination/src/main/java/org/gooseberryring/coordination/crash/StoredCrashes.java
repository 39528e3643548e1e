package org.gooseberryring.coordination.crash;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.coordination.store.StoredDocument;
import org.gooseberryring.state.EndpointProcess;

/**
 * Recent crashes in an object of the store, so that the evidence against a request is known although hosts are restarted
 * before there is enough of it for a verdict.
 */
public final class StoredCrashes {
    /** Limits the size of the object to about 20 KB. */
    static final int MAX_CRASHES = 16;

    /** Limits the writes, and is enough time to add the crashes that were read to the evidence of this host. */
    private static final long PAUSE_MILLIS = 500;

    private final StoredDocument document;
    private final CrashCodec codec;
    private Map<EndpointProcess, Set<RequestPart>> stored = Map.of();
    private Map<EndpointProcess, Set<RequestPart>> written = Map.of();
    private long nextWriteAt;

    /** Creates the state of a host that has not read the object yet. */
    public StoredCrashes(String key, CrashCodec codec) {
        this.document = new StoredDocument(key);
        this.codec = codec;
    }

    /**
     * Returns the call that is due, null if none is.
     *
     * @param crashes last crashes that are evidence on this host, at most {@link #MAX_CRASHES}
     * @param isWriter whether this host writes the object
     */
    public StoreRequest next(List<StoredCrash> crashes, boolean isWriter, long now) {
        return document.next(() -> isWriter && now >= nextWriteAt ? changedContent(crashes, now) : null, now);
    }

    /** Handles the reply to a call; returns the crashes that were read. */
    public List<StoredCrash> onReply(StoreReply reply, long now) {
        nextWriteAt = now + PAUSE_MILLIS;
        StoredDocument.Result result = document.onReply(reply, now);
        if (result == StoredDocument.Result.WRITTEN) {
            stored = written;
        }
        if (result != StoredDocument.Result.READ) {
            return List.of();
        }
        boolean isAbsent = reply.outcome() == StoreOutcome.ABSENT;
        List<StoredCrash> read = isAbsent ? List.of() : codec.decode(reply.value(), now);
        stored = requestsByProcess(read);
        return read;
    }

    /** Handles a restore of the store from an older copy, which may lack the object or have an older one. */
    public void onStoreRestored() {
        document.onStoreRestored();
    }

    private byte[] changedContent(List<StoredCrash> crashes, long now) {
        written = requestsByProcess(crashes);
        return written.equals(stored) ? null : codec.encode(crashes, now);
    }

    private static Map<EndpointProcess, Set<RequestPart>> requestsByProcess(List<StoredCrash> crashes) {
        Map<EndpointProcess, Set<RequestPart>> requests = new HashMap<>();
        crashes.forEach(crash -> requests.put(crash.process(), crash.requests()));
        return requests;
    }
}
