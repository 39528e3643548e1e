package org.gooseberryring.coordination.feed;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.retry.Backoff;

/**
 * Follows one collection of the platform's store.
 *
 * <p>It lists the collection, watches it from the revision of the list, and lists it again when the history that a watch
 * needs is gone. An answer that is older than what is known changes nothing. After an outage, objects that are missing
 * are kept for a grace time, because their owners may write them again.
 *
 * <p>It may also rely on another host that follows the same collection and passes its changes on. It then makes no calls,
 * unless a change that the other host knows of did not arrive.
 *
 * @param <T> type of the content
 */
public final class CollectionFeed<T> {
    /** Time by which an answer may be later than the longest wait while others may rely on it. */
    private static final long FRESH_SLACK_MILLIS = 300;

    /** Time for which a change that another host knows of may be on its way. */
    private static final long BEHIND_MILLIS = 300;

    private static final long NEVER = Long.MAX_VALUE;

    private final FeedTimes times;
    private final FeedListener<T> listener;
    private final Backoff backoff;
    private final Map<String, Long> revisions = new HashMap<>();
    private final Map<String, Long> doubtful = new HashMap<>();
    private final Map<String, FeedItem<T>> pages = new HashMap<>();
    private long callId;
    private boolean open;
    private boolean listing = true;
    private String after = "";
    private long listRevision;
    private long revision;
    private long retryAt;
    private long answeredAt;
    private long graceUntil = Long.MIN_VALUE;
    private boolean inContact = true;
    private boolean following;
    private long changedRevision;
    private long behindSince = NEVER;
    private long calledAt;

    /** Creates a feed that has read nothing yet; {@code now} is monotonic time in milliseconds. */
    public CollectionFeed(FeedTimes times, FeedListener<T> listener, RandomGenerator random, long now) {
        this.times = times;
        this.listener = listener;
        this.backoff = new Backoff(times.minRetryMillis(), times.maxRetryMillis(), random);
        this.answeredAt = now;
    }

    /** Returns the calls that are due; called several times a second. */
    public List<FeedCall> onTick(long now) {
        noteContact(now);
        dropDoubtful(now);
        boolean rests = following && !listing && now - behindSince <= BEHIND_MILLIS;
        return open || rests || now < retryAt ? List.of() : next(now);
    }

    /** Returns how far the collection was followed. */
    public FeedPosition position(long now) {
        boolean fresh = !listing && now - answeredAt <= times.waitMillis() + FRESH_SLACK_MILLIS;
        return new FeedPosition(changedRevision, fresh, inContact);
    }

    /** Relies on another host, whose position is given; called several times a second for as long as it holds. */
    public void follow(FeedPosition position, long now) {
        following = true;
        if (!inContact) {
            graceUntil = now + times.graceMillis();
        }
        answeredAt = Math.max(answeredAt, now - times.waitMillis());
        if (revision >= position.changedRevision()) {
            behindSince = NEVER;
        } else {
            behindSince = Math.min(behindSince, now);
        }
    }

    /**
     * Relies on no other host any more.
     *
     * @param outage whether the other host has noticed an outage of the store
     */
    public void unfollow(boolean outage, long now) {
        if (following && outage && inContact) {
            inContact = false;
            answeredAt = Math.min(answeredAt, now - times.waitMillis() - times.outageMillis() - 1);
            listener.contact(false, now);
        }
        following = false;
        behindSince = NEVER;
    }

    /**
     * Takes over changes that another host passes on.
     *
     * @param from revision after which they are complete
     */
    public void onPassedOn(long from, FeedChanges<T> changes, long now) {
        if (following && !listing && revision >= from) {
            take(changes, now);
        }
    }

    /** Returns the revision up to which changes are known. */
    public long revision() {
        return revision;
    }

    /** Handles a page of the list. */
    public List<FeedCall> onPage(long id, FeedPage<T> page, long now) {
        if (!answered(id, now)) {
            return List.of();
        }
        if (after.isEmpty()) {
            pages.clear();
            listRevision = page.revision();
        }
        for (FeedItem<T> item : page.items()) {
            pages.put(item.name(), item);
            after = item.name();
        }
        if (page.more() && !page.items().isEmpty()) {
            return next(now);
        }
        after = "";
        if (listRevision < revision) {
            // The list comes from an older state of the store than what is known.
            return retryLater(now);
        }
        takeList(now);
        return proceed(now);
    }

    /** Handles the answer to a watch. */
    public List<FeedCall> onChanges(long id, FeedChanges<T> changes, long now) {
        if (!answered(id, now)) {
            return List.of();
        }
        take(changes, now);
        if (now - calledAt < times.pauseMillis()) {
            retryAt = calledAt + times.pauseMillis();
            return List.of();
        }
        return proceed(now);
    }

    /** Handles the answer that the history which a watch needs is gone. */
    public List<FeedCall> onHistoryGone(long id, long now) {
        if (!answered(id, now)) {
            return List.of();
        }
        listing = true;
        return next(now);
    }

    /** Handles a call that failed or was refused. */
    public List<FeedCall> onFailed(long id, long now) {
        if (id != callId || !open) {
            return List.of();
        }
        open = false;
        after = "";
        return retryLater(now);
    }

    private void take(FeedChanges<T> changes, long now) {
        for (FeedChanges.Change<T> change : changes.changes()) {
            FeedItem<T> item = change.item();
            if (change.removed()) {
                removed(item.name(), now);
            } else {
                changed(item, now);
            }
        }
        revision = Math.max(revision, changes.revision());
        if (!changes.changes().isEmpty()) {
            changedRevision = revision;
        }
    }

    private List<FeedCall> proceed(long now) {
        return following ? List.of() : next(now);
    }

    private boolean answered(long id, long now) {
        if (id != callId || !open) {
            return false;
        }
        open = false;
        if (!inContact || now - answeredAt - times.waitMillis() > times.outageMillis()) {
            graceUntil = now + times.graceMillis();
        }
        backoff.reset();
        behindSince = NEVER;
        answeredAt = now;
        noteContact(now);
        return true;
    }

    private void takeList(long now) {
        Set<String> missing = new HashSet<>(revisions.keySet());
        for (FeedItem<T> item : pages.values()) {
            missing.remove(item.name());
            changed(item, now);
        }
        missing.forEach(name -> removed(name, now));
        pages.clear();
        revision = listRevision;
        changedRevision = revision;
        listing = false;
        listener.listed(revision, now);
    }

    private void changed(FeedItem<T> item, long now) {
        Long known = revisions.get(item.name());
        boolean back = doubtful.remove(item.name()) != null;
        if (known == null || item.revision() > known || back) {
            revisions.put(item.name(), item.revision());
            listener.changed(item.name(), item.value(), now);
        }
    }

    private void removed(String name, long now) {
        if (!revisions.containsKey(name)) {
            return;
        }
        if (now < graceUntil) {
            doubtful.putIfAbsent(name, graceUntil);
        } else {
            revisions.remove(name);
            doubtful.remove(name);
            listener.removed(name, now);
        }
    }

    private void dropDoubtful(long now) {
        if (doubtful.isEmpty() || !inContact) {
            return;
        }
        Set<String> over = new HashSet<>();
        doubtful.forEach((name, until) -> {
            if (now >= until) {
                over.add(name);
            }
        });
        over.forEach(name -> {
            doubtful.remove(name);
            revisions.remove(name);
            listener.removed(name, now);
        });
    }

    private void noteContact(long now) {
        boolean answers = now - answeredAt <= times.waitMillis() + times.outageMillis();
        if (answers != inContact) {
            inContact = answers;
            listener.contact(answers, now);
        }
    }

    private List<FeedCall> next(long now) {
        calledAt = now;
        open = true;
        callId++;
        return List.of(
                listing
                        ? new FeedCall.ListPage(callId, after)
                        : new FeedCall.Watch(callId, revision, times.waitMillis()));
    }

    private List<FeedCall> retryLater(long now) {
        retryAt = now + backoff.next();
        return List.of();
    }
}
