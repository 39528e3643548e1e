package org.gooseberryring.coordination.crash;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.coordination.store.StoredDocument;

/**
 * Verdicts on parts of requests in an object of the store, so that hosts that are all killed at once know them later.
 *
 * <p>Each host reads the object when it starts. One host writes the verdicts that the object lacks.
 */
public final class StoredVerdicts {
    private final StoredDocument document;
    private final VerdictCodec codec;
    private final Map<RequestPart, PartVerdict> stored = new LinkedHashMap<>();
    private List<PartVerdict> written = List.of();

    /** Creates the state of a host that has not read the object yet. */
    public StoredVerdicts(String key, VerdictCodec codec) {
        this.document = new StoredDocument(key);
        this.codec = codec;
    }

    /**
     * Returns the call that is due, null if none is.
     *
     * @param verdicts verdicts of this host
     * @param isWriter whether this host writes the verdicts that the object lacks
     */
    public StoreRequest next(List<PartVerdict> verdicts, boolean isWriter, long now) {
        return document.next(() -> isWriter ? changedContent(verdicts) : null, now);
    }

    /** Handles the reply to a call; returns the verdicts that were read. */
    public List<PartVerdict> onReply(StoreReply reply, long now) {
        StoredDocument.Result result = document.onReply(reply, now);
        if (result == StoredDocument.Result.WRITTEN) {
            setStored(written);
        }
        if (result != StoredDocument.Result.READ) {
            return List.of();
        }
        List<PartVerdict> read = reply.outcome() == StoreOutcome.ABSENT ? List.of() : codec.decode(reply.value());
        setStored(read);
        return read;
    }

    /** Handles a restore of the store from an older copy, which may lack the object or have an older one. */
    public void onStoreRestored() {
        document.onStoreRestored();
    }

    private byte[] changedContent(List<PartVerdict> verdicts) {
        if (verdicts.stream().noneMatch(this::isMissing)) {
            return null;
        }
        written = merge(verdicts);
        return codec.encode(written);
    }

    /** Returns whether the object lacks a verdict; the end of one that it does not have is not needed. */
    private boolean isMissing(PartVerdict verdict) {
        PartVerdict known = stored.get(verdict.part());
        return known == null ? !verdict.ended() : verdict.supersedes(known);
    }

    private List<PartVerdict> merge(List<PartVerdict> verdicts) {
        Map<RequestPart, PartVerdict> merged = new LinkedHashMap<>(stored);
        verdicts.stream().filter(this::isMissing).forEach(verdict -> merged.put(verdict.part(), verdict));
        if (merged.size() > PartVerdicts.MAX_VERDICTS) {
            merged.values().removeIf(PartVerdict::ended);
        }
        while (merged.size() > PartVerdicts.MAX_VERDICTS) {
            merged.remove(PartVerdicts.evicted(merged.keySet()));
        }
        return new ArrayList<>(merged.values());
    }

    private void setStored(List<PartVerdict> verdicts) {
        stored.clear();
        verdicts.forEach(verdict -> stored.put(verdict.part(), verdict));
    }
}
