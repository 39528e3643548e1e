package org.gooseberryring.coordination.feed;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Objects of a collection as they were last read, and those whose state is uncertain.
 *
 * <p>After an outage or a restore of the store, missing objects are kept for a grace time, because their owners may write
 * them again. A removed object that reappears with an older copy of the store is accepted only once its owner has written
 * it again, or once the store still contains it after the time in which it would have expired.
 *
 * @param <T> type of the content
 */
final class KnownObjects<T> {
    /** Revision of an object that must be read again, because its revision belongs to an earlier epoch. */
    private static final long UNKNOWN = -1;

    /** Time for which removed objects are remembered, more than the age of store copies, which is some seconds. */
    private static final long REMOVED_RETENTION_MILLIS = 60_000;

    private final FeedListener<T> listener;
    private final long expiryMillis;
    private final Map<String, Long> revisions = new HashMap<>();
    private final Map<String, Long> missingUntil = new HashMap<>();
    private final Map<String, Long> removedAt = new HashMap<>();
    private final Map<String, Reappeared<T>> reappeared = new HashMap<>();
    private long graceUntil = Long.MIN_VALUE;
    private boolean restored;

    /** Object that reappeared with an older copy of the store, and the time at which it would have expired. */
    private record Reappeared<T>(FeedItem<T> item, long expiresAt) {}

    /**
     * Creates an empty collection.
     *
     * @param expiryMillis time after which an object expires that its owner does not renew; 0 if objects do not expire
     */
    KnownObjects(FeedListener<T> listener, long expiryMillis) {
        this.listener = listener;
        this.expiryMillis = expiryMillis;
    }

    /** Keeps missing objects at least until the given time. */
    void extendGrace(long until) {
        graceUntil = Math.max(graceUntil, until);
    }

    /** Returns whether there are neither known objects nor remembered removed ones. */
    boolean isEmpty() {
        return revisions.isEmpty() && removedAt.isEmpty();
    }

    /** Handles that the store was restored from an older copy, which makes known revisions meaningless. */
    void onRestored() {
        revisions.replaceAll((name, revision) -> UNKNOWN);
        reappeared.clear();
        restored = true;
    }

    /**
     * Applies the complete list of objects.
     *
     * @param revision revision of the list; objects with a later one are newer than the list
     */
    void onListed(Collection<FeedItem<T>> items, long revision, long now) {
        Set<String> missing = new HashSet<>(revisions.keySet());
        missing.removeIf(name -> revisions.get(name) > revision);
        missing.addAll(reappeared.keySet());
        for (FeedItem<T> item : items) {
            missing.remove(item.name());
            Reappeared<T> pending = reappeared.get(item.name());
            boolean rewritten =
                    pending != null && item.revision() > pending.item().revision();
            if (isReappearing(item.name())) {
                reappeared.put(item.name(), new Reappeared<>(item, now + expiryMillis));
            } else if (pending == null || rewritten) {
                onChanged(item, now);
            }
        }
        missing.forEach(name -> removeOrKeep(name, now));
        restored = false;
    }

    /** Applies an object, unless a newer state of it is known. */
    void onChanged(FeedItem<T> item, long now) {
        Long knownRevision = revisions.get(item.name());
        boolean wasMissing = missingUntil.remove(item.name()) != null;
        if (knownRevision == null || item.revision() > knownRevision || wasMissing) {
            revisions.put(item.name(), item.revision());
            reappeared.remove(item.name());
            removedAt.remove(item.name());
            listener.onChanged(item.name(), item.value(), now);
        }
    }

    /**
     * Removes an object, unless it was written again after its given last state.
     *
     * @param revision revision of the state of the store in which it is removed
     */
    void onRemoved(FeedItem<T> last, long revision, long now) {
        Long knownRevision = revisions.get(last.name());
        if (knownRevision == null || knownRevision <= Math.min(last.revision(), revision)) {
            removeOrKeep(last.name(), now);
        }
    }

    /** Removes an object, or keeps it until the end of the grace time. */
    private void removeOrKeep(String name, long now) {
        reappeared.remove(name);
        if (!revisions.containsKey(name)) {
            return;
        }
        if (now < graceUntil) {
            missingUntil.putIfAbsent(name, graceUntil);
        } else {
            remove(name, now);
        }
    }

    /** Removes objects whose grace time has ended and old records of removed objects; called while the store responds. */
    void removeExpired(long now) {
        Set<String> expired = new HashSet<>();
        missingUntil.forEach((name, until) -> {
            if (now >= until) {
                expired.add(name);
            }
        });
        expired.forEach(name -> remove(name, now));
        removedAt.values().removeIf(at -> now - at > REMOVED_RETENTION_MILLIS);
    }

    /** Returns whether an object that reappeared would have expired by now, so that the store must confirm it. */
    boolean isExpiryDue(long now) {
        return reappeared.values().stream().anyMatch(each -> now >= each.expiresAt());
    }

    /** Accepts the objects that reappeared and were still stored when a call was sent after their expiry time. */
    void acceptConfirmed(long sentAt, long now) {
        List<FeedItem<T>> confirmed = reappeared.values().stream()
                .filter(each -> sentAt >= each.expiresAt())
                .map(Reappeared::item)
                .toList();
        confirmed.forEach(item -> onChanged(item, now));
    }

    private boolean isReappearing(String name) {
        return restored && expiryMillis > 0 && removedAt.containsKey(name);
    }

    private void remove(String name, long now) {
        missingUntil.remove(name);
        revisions.remove(name);
        removedAt.put(name, now);
        listener.onRemoved(name, now);
    }
}
