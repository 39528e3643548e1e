package org.gooseberryring.coordination.feed;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.retry.Backoff;
import org.gooseberryring.coordination.store.StorePosition;

/**
 * Follows one collection of the platform's store.
 *
 * <p>It lists the collection, watches it from the position of the list, and lists it again when the history that a watch
 * needs is gone or the store came back from an older copy. An answer that is older than what is known changes nothing.
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

    /** Time over which the hosts spread their lists after a restore of the store. */
    private static final long RESTORE_SPREAD_MILLIS = 300;

    private static final long NEVER = Long.MAX_VALUE;

    private final FeedTimes times;
    private final FeedListener<T> listener;
    private final Backoff backoff;
    private final RandomGenerator random;
    private final KnownObjects<T> objects;
    private final Map<String, FeedItem<T>> pages = new HashMap<>();
    private long callId;
    private FeedCall open;
    private boolean listing = true;
    private String after = "";
    private StorePosition listed = StorePosition.START;
    private StorePosition known = StorePosition.START;
    private StorePosition changed = StorePosition.START;
    private long retryAt;
    private long answeredAt;
    private boolean inContact = true;
    private boolean following;
    private long behindSince = NEVER;
    private long calledAt;

    /** Creates a feed that has read nothing yet; {@code now} is monotonic time in milliseconds. */
    public CollectionFeed(FeedTimes times, FeedListener<T> listener, RandomGenerator random, long now) {
        this.times = times;
        this.listener = listener;
        this.backoff = new Backoff(times.minRetryMillis(), times.maxRetryMillis(), random);
        this.random = random;
        this.objects = new KnownObjects<>(listener, times.lapseMillis());
        this.answeredAt = now;
    }

    /** Returns the calls that are due; called several times a second. */
    public List<FeedCall> onTick(long now) {
        noteContact(now);
        if (inContact) {
            objects.expire(now);
        }
        return open != null || rests(now) || now < retryAt ? List.of() : next(now);
    }

    /** Returns how far the collection was followed. */
    public FeedPosition position(long now) {
        boolean fresh = !listing && now - answeredAt <= times.waitMillis() + FRESH_SLACK_MILLIS;
        return new FeedPosition(changed, fresh, inContact);
    }

    /** Relies on another host, whose position is given; called several times a second for as long as it holds. */
    public void follow(FeedPosition position, long now) {
        onEpoch(position.changed().epoch(), now);
        if (position.changed().epoch() < known.epoch()) {
            // The other host has not noticed yet that the store came back from an older copy.
            unfollow(false, now);
            return;
        }
        following = true;
        if (!inContact) {
            objects.graceUntil(now + times.graceMillis());
        }
        answeredAt = Math.max(answeredAt, now - times.waitMillis());
        if (known.hasReached(position.changed())) {
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
            listener.onContactChanged(false, now);
        }
        following = false;
        behindSince = NEVER;
    }

    /**
     * Takes over changes that another host passes on.
     *
     * @param from position after which they are complete
     */
    public void onRelayedChanges(StorePosition from, FeedChanges<T> changes, long now) {
        boolean sameEpoch = changes.at().epoch() == from.epoch();
        if (following && !listing && sameEpoch && known.hasReached(from)) {
            take(changes, now);
        }
    }

    /**
     * Returns the position after which the answer to a watch is complete for the hosts that rely on this one, or null if
     * it must not be passed on; call before the answer is handled.
     */
    public StorePosition relayableFrom(long id, FeedChanges<T> changes) {
        boolean present = isOpen(id) && changes.at().epoch() == known.epoch();
        return present && !listing && !changes.changes().isEmpty() ? changed : null;
    }

    /** Takes over an epoch of the store that another call has shown; the collection is read anew if it is a later one. */
    public void onEpoch(long epoch, long now) {
        if (epoch > known.epoch()) {
            restored(epoch, now);
            if (!isFirstPage(open)) {
                // What is asked for begins at a position of the earlier epoch.
                open = null;
                retryAt = now + random.nextLong(RESTORE_SPREAD_MILLIS);
            }
        }
    }

    /** Handles a page of the list. */
    public List<FeedCall> onPage(long id, FeedPage<T> page, long now) {
        if (isOutdated(page.at())) {
            return onFailed(id, now);
        }
        FeedCall call = open;
        if (!answered(id, now)) {
            return List.of();
        }
        boolean first = isFirstPage(call);
        if (page.at().epoch() > known.epoch()) {
            restored(page.at().epoch(), now);
        }
        if (!first && listed.epoch() != page.at().epoch()) {
            // The pages before show an older copy of the store.
            after = "";
            return next(now);
        }
        if (first) {
            pages.clear();
            listed = page.at();
        }
        for (FeedItem<T> item : page.items()) {
            pages.put(item.name(), item);
            after = item.name();
        }
        if (page.more() && !page.items().isEmpty()) {
            return next(now);
        }
        after = "";
        if (listed.revision() < known.revision()) {
            // The list comes from an older state of the store than what is known.
            return retryLater(now);
        }
        takeList(now);
        return proceed(now);
    }

    /** Handles the answer to a watch. */
    public List<FeedCall> onChanges(long id, FeedChanges<T> changes, long now) {
        if (isOutdated(changes.at())) {
            return onFailed(id, now);
        }
        FeedCall call = open;
        if (!answered(id, now)) {
            return List.of();
        }
        if (changes.at().epoch() > known.epoch()) {
            restored(changes.at().epoch(), now);
        }
        boolean sameEpoch = call instanceof FeedCall.Watch watch
                && watch.from().epoch() == changes.at().epoch();
        if (listing || !sameEpoch) {
            // The watch began at a revision that now means another state of the store.
            listing = true;
            return next(now);
        }
        take(changes, now);
        objects.confirmed(calledAt, now);
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
        if (!isOpen(id)) {
            return List.of();
        }
        open = null;
        after = "";
        return retryLater(now);
    }

    private boolean isOpen(long id) {
        return open != null && open.id() == id;
    }

    private static boolean isFirstPage(FeedCall call) {
        return call instanceof FeedCall.ListPage list && list.after().isEmpty();
    }

    /** Returns whether an answer was given before the store came back from an older copy. */
    private boolean isOutdated(StorePosition at) {
        return at.epoch() < known.epoch();
    }

    /** Notes that the store came back from an older copy, so that everything must be read anew. */
    private void restored(long epoch, long now) {
        if (!objects.isEmpty()) {
            objects.restored();
            objects.graceUntil(now + Math.max(times.graceMillis(), times.restoreGraceMillis()));
        }
        known = new StorePosition(epoch, 0);
        changed = known;
        after = "";
        listing = true;
    }

    private void take(FeedChanges<T> changes, long now) {
        for (FeedChanges.Change<T> change : changes.newest()) {
            FeedItem<T> item = change.item();
            if (change.removed()) {
                objects.removed(item, now);
            } else if (item.revision() > known.revision()) {
                // What another host passes on may be older than what this one has read itself.
                objects.changed(item, now);
            }
        }
        known = new StorePosition(
                known.epoch(), Math.max(known.revision(), changes.at().revision()));
        if (!changes.changes().isEmpty()) {
            changed = known;
        }
    }

    /** Returns whether another host provides all that is needed, so that no call is made. */
    private boolean rests(long now) {
        boolean upToDate = !listing && now - behindSince <= BEHIND_MILLIS;
        return following && upToDate && !objects.isLapseDue(now);
    }

    private List<FeedCall> proceed(long now) {
        return following ? List.of() : next(now);
    }

    private boolean answered(long id, long now) {
        if (!isOpen(id)) {
            return false;
        }
        open = null;
        if (!inContact || now - answeredAt - times.waitMillis() > times.outageMillis()) {
            objects.graceUntil(now + times.graceMillis());
        }
        backoff.reset();
        behindSince = NEVER;
        answeredAt = now;
        noteContact(now);
        return true;
    }

    private void takeList(long now) {
        objects.listed(pages.values(), now);
        pages.clear();
        known = listed;
        changed = listed;
        listing = false;
        listener.onListed(listed, now);
    }

    private void noteContact(long now) {
        boolean answers = now - answeredAt <= times.waitMillis() + times.outageMillis();
        if (answers != inContact) {
            inContact = answers;
            listener.onContactChanged(answers, now);
        }
    }

    private List<FeedCall> next(long now) {
        calledAt = now;
        callId++;
        open = listing ? new FeedCall.ListPage(callId, after) : new FeedCall.Watch(callId, known, times.waitMillis());
        return List.of(open);
    }

    private List<FeedCall> retryLater(long now) {
        retryAt = now + backoff.next();
        return List.of();
    }
}
