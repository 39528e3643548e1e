package org.gooseberryring.coordination.limit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.coordination.store.StoredDocument;

/**
 * Excess of organisations in an object of the store, so that hosts that are all killed at once do not grant again what
 * they have granted shortly before.
 *
 * <p>Each host reads the object when it starts. One host writes a higher excess at once and a lower one a window later, so
 * that a demand that varies causes few calls.
 */
public final class StoredLimitUse {
    private final StoredDocument document;
    private final LimitUseCodec codec;
    private final long windowMillis;
    private final Map<String, Long> neededAt = new HashMap<>();
    private Map<String, Long> stored = Map.of();
    private Map<String, Long> written = Map.of();

    /**
     * Creates the state of a host that has not read the object yet.
     *
     * @param windowMillis length in milliseconds of the periods in which an organisation may use its rate and its burst
     */
    public StoredLimitUse(String key, LimitUseCodec codec, long windowMillis) {
        this.document = new StoredDocument(key);
        this.codec = codec;
        this.windowMillis = windowMillis;
    }

    /** Returns whether the object states an excess of any organisation. */
    public boolean hasExcess() {
        return !stored.isEmpty();
    }

    /**
     * Returns the call that is due, null if none is.
     *
     * @param excesses tokens by organisation as {@link SharedLimits#excesses} returns them
     * @param isWriter whether this host writes them
     */
    public StoreRequest next(Map<String, Long> excesses, boolean isWriter, long now) {
        return document.next(() -> isWriter ? changedContent(excesses, now) : null, now);
    }

    /** Handles the reply to a call; returns the tokens by organisation if they were read. */
    public Optional<Map<String, Long>> onReply(StoreReply reply, long now) {
        StoredDocument.Result result = document.onReply(reply, now);
        if (result == StoredDocument.Result.WRITTEN) {
            stored = written;
        }
        if (result != StoredDocument.Result.READ) {
            return Optional.empty();
        }
        stored = reply.outcome() == StoreOutcome.ABSENT ? Map.of() : Map.copyOf(codec.decode(reply.value()));
        stored.keySet().forEach(organisation -> neededAt.put(organisation, now));
        return Optional.of(stored);
    }

    /** Handles a restore of the store from an older copy, which may lack the object or have an older one. */
    public void onStoreRestored() {
        document.onStoreRestored();
    }

    private byte[] changedContent(Map<String, Long> excesses, long now) {
        Set<String> organisations = new HashSet<>(stored.keySet());
        organisations.addAll(excesses.keySet());
        Map<String, Long> content = new HashMap<>();
        for (String organisation : organisations) {
            long tokens = content(organisation, excesses.getOrDefault(organisation, 0L), now);
            if (tokens > 0) {
                content.put(organisation, tokens);
            }
        }
        neededAt.keySet().retainAll(content.keySet());
        if (content.equals(stored)) {
            return null;
        }
        written = Map.copyOf(content);
        return codec.encode(written);
    }

    /** Returns what the object should state of an organisation with the given excess. */
    private long content(String organisation, long excess, long now) {
        long known = stored.getOrDefault(organisation, 0L);
        if (excess >= known) {
            neededAt.put(organisation, now);
            return excess;
        }
        boolean isHeld = now - neededAt.getOrDefault(organisation, now) <= windowMillis;
        return isHeld ? known : excess;
    }
}
