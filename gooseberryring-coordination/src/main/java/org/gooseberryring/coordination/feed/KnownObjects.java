package org.gooseberryring.coordination.feed;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Objects of a collection as they were last read, and those whose state is in doubt.
 *
 * <p>After an outage or a restore of the store, objects that are missing are kept for a grace time, because their owners
 * may write them again. An object that was removed and that an older copy of the store brings back counts only once its
 * owner has written it again, or once the store still holds it after the time in which it would have lapsed.
 *
 * @param <T> type of the content
 */
final class KnownObjects<T> {
    /** Revision of an object that must be read anew, because its revision belongs to an earlier epoch. */
    private static final long UNKNOWN = -1;

    /** Time for which removed objects are remembered; copies of the store are some seconds old. */
    private static final long REMEMBERED_MILLIS = 60_000;

    private final FeedListener<T> listener;
    private final long lapseMillis;
    private final Map<String, Long> revisions = new HashMap<>();
    private final Map<String, Long> missingUntil = new HashMap<>();
    private final Map<String, Long> removedAt = new HashMap<>();
    private final Map<String, Returned<T>> returned = new HashMap<>();
    private long graceUntil = Long.MIN_VALUE;
    private boolean restored;

    /** Object that an older copy of the store brought back, and the time at which it would have lapsed. */
    private record Returned<T>(FeedItem<T> item, long lapsesAt) {}

    /**
     * Creates an empty collection.
     *
     * @param lapseMillis time in which an object lapses whose owner no longer renews it; 0 if objects do not lapse
     */
    KnownObjects(FeedListener<T> listener, long lapseMillis) {
        this.listener = listener;
        this.lapseMillis = lapseMillis;
    }

    /** Keeps missing objects until the given time at least. */
    void graceUntil(long until) {
        graceUntil = Math.max(graceUntil, until);
    }

    /** Returns whether no object is known, nor remembered as removed. */
    boolean isEmpty() {
        return revisions.isEmpty() && removedAt.isEmpty();
    }

    /** Notes that the store came back from an older copy, so that known revisions say nothing any more. */
    void restored() {
        revisions.replaceAll((name, revision) -> UNKNOWN);
        returned.clear();
        restored = true;
    }

    /** Takes over the whole list. */
    void listed(Collection<FeedItem<T>> items, long now) {
        Set<String> missing = new HashSet<>(revisions.keySet());
        missing.addAll(returned.keySet());
        for (FeedItem<T> item : items) {
            missing.remove(item.name());
            Returned<T> waiting = returned.get(item.name());
            boolean rewritten =
                    waiting != null && item.revision() > waiting.item().revision();
            if (isReturned(item.name())) {
                returned.put(item.name(), new Returned<>(item, now + lapseMillis));
            } else if (waiting == null || rewritten) {
                changed(item, now);
            }
        }
        missing.forEach(name -> removed(name, now));
        restored = false;
    }

    /** Takes over an object, unless a newer state of it is known. */
    void changed(FeedItem<T> item, long now) {
        Long known = revisions.get(item.name());
        boolean back = missingUntil.remove(item.name()) != null;
        if (known == null || item.revision() > known || back) {
            revisions.put(item.name(), item.revision());
            returned.remove(item.name());
            removedAt.remove(item.name());
            listener.onChanged(item.name(), item.value(), now);
        }
    }

    /** Takes out an object as it was last, unless it was written again since. */
    void removed(FeedItem<T> last, long now) {
        Long known = revisions.get(last.name());
        if (known == null || known <= last.revision()) {
            removed(last.name(), now);
        }
    }

    /** Takes out an object, or keeps it for the grace time. */
    private void removed(String name, long now) {
        returned.remove(name);
        if (!revisions.containsKey(name)) {
            return;
        }
        if (now < graceUntil) {
            missingUntil.putIfAbsent(name, graceUntil);
        } else {
            forget(name, now);
        }
    }

    /** Lets time pass while the store answers. */
    void expire(long now) {
        Set<String> over = new HashSet<>();
        missingUntil.forEach((name, until) -> {
            if (now >= until) {
                over.add(name);
            }
        });
        over.forEach(name -> forget(name, now));
        removedAt.values().removeIf(at -> now - at > REMEMBERED_MILLIS);
    }

    /** Returns whether an object that an older copy brought back would have lapsed by now, which the store must confirm. */
    boolean isLapseDue(long now) {
        return returned.values().stream().anyMatch(each -> now >= each.lapsesAt());
    }

    /** Takes over the objects that an older copy brought back and that have not lapsed when a call was sent. */
    void confirmed(long sentAt, long now) {
        List<FeedItem<T>> alive = returned.values().stream()
                .filter(each -> sentAt >= each.lapsesAt())
                .map(Returned::item)
                .toList();
        alive.forEach(item -> changed(item, now));
    }

    private boolean isReturned(String name) {
        return restored && lapseMillis > 0 && removedAt.containsKey(name);
    }

    private void forget(String name, long now) {
        missingUntil.remove(name);
        revisions.remove(name);
        removedAt.put(name, now);
        listener.onRemoved(name, now);
    }
}
