package org.gooseberryring.coordination.feed;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.retry.Backoff;
import org.gooseberryring.coordination.store.StorePosition;

/**
 * Follows one collection of the platform's store.
 *
 * <p>It lists the collection, watches it from the position of the list, and lists it again when the history that a watch
 * needs is no longer available or the store was restored from an older copy. Responses that are older than the known
 * state are ignored.
 *
 * <p>It may also follow another host that reads the same collection and relays its changes. It then makes no calls, unless
 * a change that the other host knows did not arrive.
 *
 * @param <T> type of the content
 */
public final class CollectionFeed<T> {
    /** Time beyond the longest wait in which the next call is made and answered while the store responds. */
    private static final long CURRENT_TOLERANCE_MILLIS = 500;

    /** Time allowed for a change that the followed host knows to arrive. */
    private static final long BEHIND_MILLIS = 300;

    /** Time over which the hosts spread their list calls after a restore of the store. */
    private static final long RESTORE_SPREAD_MILLIS = 300;

    /** Wait of a watch whose response is needed at once, whether or not there are changes. */
    private static final long PROMPT_WAIT_MILLIS = 1;

    private static final long NEVER = Long.MAX_VALUE;

    private final FeedTimes times;
    private final FeedListener<T> listener;
    private final Backoff backoff;
    private final RandomGenerator random;
    private final KnownObjects<T> objects;
    private final Map<String, FeedItem<T>> pages = new HashMap<>();
    private long callId;
    private final OpenCalls open = new OpenCalls();
    private boolean listing = true;

    /** Whether the last call failed, so that the next one is made on a new connection. */
    private boolean failing;

    /** Whether the last call was answered and no other host has been followed since. */
    private boolean responding;

    private String after = "";
    private StorePosition listed = StorePosition.START;
    private StorePosition known = StorePosition.START;
    private StorePosition changed = StorePosition.START;
    private long retryAt;

    /** Time of the last response, or the latest one that the followed host stands for; tells outages. */
    private long lastResponseAt;

    /** Time up to which all changes are known; tells whether the store must be called. */
    private long confirmedAt;

    private long listCalledAt;

    /** Part of {@link #confirmedAt} that is due to changes which the followed host has passed on. */
    private long relayedAt = Long.MIN_VALUE / 2;

    private boolean inContact = true;
    private boolean following;
    private long behindSince = NEVER;
    private long calledAt;

    /** Creates a feed without any objects; {@code now} is monotonic time in milliseconds. */
    public CollectionFeed(FeedTimes times, FeedListener<T> listener, RandomGenerator random, long now) {
        this.times = times;
        this.listener = listener;
        this.backoff = new Backoff(times.minRetryMillis(), times.maxRetryMillis(), random);
        this.random = random;
        this.objects = new KnownObjects<>(listener, times.expiryMillis());
        this.lastResponseAt = now;
        this.confirmedAt = now;
    }

    /** Returns the calls that are due; called several times a second. */
    public List<FeedCall> onTick(long now) {
        updateContact(now);
        if (inContact) {
            objects.removeExpired(now);
        }
        if (open.giveUpLate(now)) {
            onUnanswered(now);
        }
        if (!open.isEmpty()) {
            return repeatOverdue(now);
        }
        return isIdle(now) || now < retryAt ? List.of() : next(now);
    }

    /** Returns the position up to which the collection was read. */
    public FeedPosition position(long now) {
        boolean fresh = !listing && !isStale(confirmedAt, now);
        return new FeedPosition(changed, fresh, inContact, confirmedAt);
    }

    /** Returns the time up to which all changes are known, from the store or from the followed host. */
    public long confirmedAt() {
        return confirmedAt;
    }

    /** Returns whether all changes are known but for the last seconds, from the store or from the followed host. */
    public boolean isCurrent(long now) {
        return !listing && now - lastResponseAt <= times.waitMillis() + CURRENT_TOLERANCE_MILLIS;
    }

    /**
     * Follows another host at the given position, unless that host has not heard the store for too long; called several
     * times a second while the host can be followed.
     */
    public void follow(FeedPosition position, long now) {
        if (isStale(Math.max(position.confirmedAt(), relayedAt), now)) {
            unfollow(false, now);
            return;
        }
        onEpoch(position.changed().epoch(), now);
        if (position.changed().epoch() < known.epoch()) {
            // The other host has not yet noticed that the store was restored from an older copy.
            unfollow(false, now);
            return;
        }
        following = true;
        responding = false;
        if (!inContact) {
            objects.extendGrace(now + times.graceMillis());
        }
        lastResponseAt = Math.max(lastResponseAt, now - times.waitMillis());
        if (known.hasReached(position.changed())) {
            behindSince = NEVER;
            confirmedAt = Math.max(confirmedAt, position.confirmedAt());
        } else {
            behindSince = Math.min(behindSince, now);
        }
    }

    /**
     * Stops following another host.
     *
     * @param outage whether the other host has noticed an outage of the store
     */
    public void unfollow(boolean outage, long now) {
        if (following && outage && inContact) {
            inContact = false;
            lastResponseAt = Math.min(lastResponseAt, now - times.waitMillis() - times.outageMillis() - 1);
            listener.onContactChanged(false, now);
        }
        following = false;
        behindSince = NEVER;
    }

    /**
     * Handles changes that another host relays. If earlier changes are missing, objects that are newer than all that this
     * host has read are applied all the same, since each is complete by itself.
     *
     * @param from position after which the changes are complete
     * @return whether all changes up to the relayed position are known now
     */
    public boolean onRelayedChanges(StorePosition from, FeedChanges<T> changes, long now) {
        boolean sameEpoch = changes.at().epoch() == from.epoch() && from.epoch() == known.epoch();
        if (listing || !sameEpoch) {
            return false;
        }
        if (!following || !known.hasReached(from)) {
            changes.newest().stream().filter(change -> !change.removed()).forEach(change -> applyNewer(change, now));
            return false;
        }
        apply(changes, now);
        // The other host passes a response of the store on at once.
        relayedAt = now - times.overdueMillis();
        confirmedAt = Math.max(confirmedAt, relayedAt);
        return true;
    }

    /**
     * Returns the position after which the response to a watch is complete for the hosts that follow this one, or null if
     * it must not be relayed to them; call before the response is handled.
     */
    public StorePosition relayableFrom(long id, FeedChanges<T> changes) {
        boolean current = open.find(id).isPresent() && changes.at().epoch() == known.epoch();
        return current && !listing && !changes.changes().isEmpty() ? changed : null;
    }

    /** Handles an epoch of the store that another call returned; the collection is read again if the epoch is later. */
    public void onEpoch(long epoch, long now) {
        if (epoch > known.epoch()) {
            onRestored(epoch, now);
            if (!open.isFirstPage()) {
                // The open call starts at a position of the earlier epoch.
                open.clear();
                retryAt = now + random.nextLong(RESTORE_SPREAD_MILLIS);
            }
        }
    }

    /** Handles a page of the list. */
    public List<FeedCall> onPage(long id, FeedPage<T> page, long now) {
        if (isOutdated(page.at())) {
            return onFailed(id, now);
        }
        Optional<FeedCall> call = acceptResponse(id, now);
        if (call.isEmpty()) {
            return List.of();
        }
        boolean first = OpenCalls.isFirstPage(call.get());
        if (page.at().epoch() > known.epoch()) {
            onRestored(page.at().epoch(), now);
        }
        if (!first && listed.epoch() != page.at().epoch()) {
            // The previous pages are from an earlier epoch of the store.
            after = "";
            return next(now);
        }
        if (first) {
            pages.clear();
            listed = page.at();
            listCalledAt = calledAt;
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
            // The list is older than the known state of the store.
            return retryLater(now);
        }
        applyList(now);
        return nextUnlessFollowing(now);
    }

    /** Handles the response to a watch. */
    public List<FeedCall> onChanges(long id, FeedChanges<T> changes, long now) {
        if (isOutdated(changes.at())) {
            return onFailed(id, now);
        }
        Optional<FeedCall> call = acceptResponse(id, now);
        if (call.isEmpty()) {
            return List.of();
        }
        if (changes.at().epoch() > known.epoch()) {
            onRestored(changes.at().epoch(), now);
        }
        boolean sameEpoch = call.get() instanceof FeedCall.Watch watch
                && watch.from().epoch() == changes.at().epoch();
        if (listing || !sameEpoch) {
            // The watch started at a revision that denotes another state of the store in this epoch.
            listing = true;
            return next(now);
        }
        apply(changes, now);
        // A response that this host handles late says nothing about the time after it was sent.
        confirmedAt = Math.max(confirmedAt, Math.min(now, OpenCalls.giveUpAt(call.get(), calledAt)));
        objects.acceptConfirmed(calledAt, now);
        if (now - calledAt < times.minIntervalMillis()) {
            retryAt = calledAt + times.minIntervalMillis();
            return List.of();
        }
        return nextUnlessFollowing(now);
    }

    /** Handles the response that the history which a watch needs is no longer available. */
    public List<FeedCall> onHistoryGone(long id, long now) {
        if (acceptResponse(id, now).isEmpty()) {
            return List.of();
        }
        listing = true;
        return next(now);
    }

    /** Handles a call that failed or was rejected. */
    public List<FeedCall> onFailed(long id, long now) {
        if (open.find(id).isEmpty()) {
            return List.of();
        }
        if (open.remove(id)) {
            after = "";
            return onUnanswered(now);
        }
        failing = true;
        responding = false;
        return List.of();
    }

    private List<FeedCall> onUnanswered(long now) {
        failing = true;
        responding = false;
        return retryLater(now);
    }

    private boolean isStale(long confirmed, long now) {
        return now - confirmed > times.staleMillis();
    }

    /** Returns whether a response is from before the store was restored from an older copy. */
    private boolean isOutdated(StorePosition at) {
        return at.epoch() < known.epoch();
    }

    /** Handles that the store was restored from an older copy, so that everything must be read again. */
    private void onRestored(long epoch, long now) {
        if (!objects.isEmpty()) {
            objects.onRestored();
            objects.extendGrace(now + Math.max(times.graceMillis(), times.restoreGraceMillis()));
        }
        known = new StorePosition(epoch, 0);
        changed = known;
        after = "";
        listing = true;
    }

    private void apply(FeedChanges<T> changes, long now) {
        for (FeedChanges.Change<T> change : changes.newest()) {
            if (change.removed()) {
                objects.onRemoved(change.item(), changes.at().revision(), now);
            } else {
                applyNewer(change, now);
            }
        }
        known = new StorePosition(
                known.epoch(), Math.max(known.revision(), changes.at().revision()));
        if (!changes.changes().isEmpty()) {
            changed = known;
        }
    }

    /** Applies an object unless this host has read a later state of the store itself. */
    private void applyNewer(FeedChanges.Change<T> change, long now) {
        if (change.item().revision() > known.revision()) {
            objects.onChanged(change.item(), now);
        }
    }

    /** Returns whether the followed host provides all changes, so that no call is needed. */
    private boolean isIdle(long now) {
        boolean upToDate = !listing && now - behindSince <= BEHIND_MILLIS && !isStale(confirmedAt, now);
        return following && upToDate && !objects.isExpiryDue(now);
    }

    private List<FeedCall> nextUnlessFollowing(long now) {
        return following ? List.of() : next(now);
    }

    /** Accepts the response to an open call and drops the others; returns the call if it is open. */
    private Optional<FeedCall> acceptResponse(long id, long now) {
        Optional<FeedCall> call = open.find(id);
        if (call.isEmpty()) {
            return call;
        }
        calledAt = open.sentAt(id);
        open.clear();
        failing = false;
        responding = true;
        if (!inContact || now - lastResponseAt - times.waitMillis() > times.outageMillis()) {
            objects.extendGrace(now + times.graceMillis());
        }
        backoff.reset();
        behindSince = NEVER;
        lastResponseAt = now;
        updateContact(now);
        return call;
    }

    private void applyList(long now) {
        objects.onListed(pages.values(), listed.revision(), now);
        pages.clear();
        known = listed;
        confirmedAt = Math.max(confirmedAt, listCalledAt);
        changed = listed;
        listing = false;
        listener.onListed(listed, now);
    }

    private void updateContact(long now) {
        boolean responsive = now - lastResponseAt <= times.waitMillis() + times.outageMillis();
        if (responsive != inContact) {
            inContact = responsive;
            listener.onContactChanged(responsive, now);
        }
    }

    private List<FeedCall> next(long now) {
        callId++;
        // A long wait on a connection that does not respond would hide a change that was missed before.
        long wait = responding ? times.waitMillis() : PROMPT_WAIT_MILLIS;
        return send(
                listing
                        ? new FeedCall.ListPage(callId, after, failing)
                        : new FeedCall.Watch(callId, known, wait, failing),
                now);
    }

    /** Makes an open call again beside it if its response is overdue, once until the store responds. */
    private List<FeedCall> repeatOverdue(long now) {
        if (failing) {
            return List.of();
        }
        long changedSince = behindSince == NEVER ? NEVER : behindSince + BEHIND_MILLIS;
        Optional<FeedCall> overdue = open.overdue(times.overdueMillis(), changedSince, now);
        return overdue.map(call -> send(call.repeated(++callId), now)).orElse(List.of());
    }

    private List<FeedCall> send(FeedCall call, long now) {
        open.add(call, now);
        return List.of(call);
    }

    private List<FeedCall> retryLater(long now) {
        retryAt = now + backoff.next();
        return List.of();
    }
}
