package org.gooseberryring.coordination.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

import org.gooseberryring.state.PriorityClass;

/**
 * Bounded queue that shares service fairly between organisations and guarantees each priority class a minimum share.
 *
 * <p>A class that has received less than its minimum share is served first, otherwise the highest class. Within a
 * class, organisations are served by deficit round robin with costs in tokens. A request that cannot leave the queue
 * before its deadline at the observed service rate is refused when it is offered.
 *
 * @param <T> type of the requests
 */
public final class FairQueue<T> {
    // Maximum credit in quanta that a class accumulates while it is blocked, so that it does not overtake the others
    // for long afterwards.
    private static final int MAX_CREDIT_QUANTA = 64;
    private static final long MIN_RETRY_MILLIS = 50;
    private static final long MAX_RETRY_MILLIS = 60_000;

    private final QueueSettings settings;
    private final Map<PriorityClass, ClassQueue<T>> classes = new EnumMap<>(PriorityClass.class);
    private final Map<PriorityClass, Double> credits = new EnumMap<>(PriorityClass.class);
    private final Map<String, QueueItem<T>> items = new HashMap<>();
    private final Map<String, Integer> counts = new HashMap<>();
    private final TreeSet<QueueItem<T>> byDeadline = new TreeSet<>(
            Comparator.comparingLong((QueueItem<T> item) -> item.deadline()).thenComparing(item -> item.id()));
    private final ServiceRate rate = new ServiceRate();
    private long sequence;

    /**
     * Creates an empty queue.
     *
     * @param settings bounds and shares
     * @param weights weight of an organisation, at least 1
     */
    public FairQueue(QueueSettings settings, ToIntFunction<String> weights) {
        this.settings = settings;
        for (PriorityClass priorityClass : PriorityClass.values()) {
            classes.put(priorityClass, new ClassQueue<>(settings.quantumTokens(), weights));
            credits.put(priorityClass, 0.0);
        }
    }

    /**
     * Adds a request, or refuses it with a retry delay.
     *
     * @throws IllegalArgumentException if a request with the same identifier is queued
     */
    public QueueOffer<T> offer(QueueItem<T> item, long now) {
        if (items.containsKey(item.id())) {
            throw new IllegalArgumentException("request " + item.id() + " is already queued");
        }
        long wait = waitMillis(item, now);
        long slack = item.deadline() - now;
        if (slack <= 0 || wait > slack) {
            return QueueOffer.refused(
                    QueueOffer.Kind.DEADLINE_UNREACHABLE, boundedRetryMillis(wait - Math.max(0, slack)));
        }
        int own = counts.getOrDefault(item.organisation(), 0);
        if (own >= settings.maxItemsPerOrganisation()) {
            return QueueOffer.refused(QueueOffer.Kind.FULL, boundedRetryMillis(wait / 2));
        }
        List<QueueItem<T>> evicted = new ArrayList<>();
        if (items.size() >= settings.maxItems()) {
            QueueItem<T> evictionCandidate = evictionCandidate(own);
            if (evictionCandidate == null) {
                return QueueOffer.refused(QueueOffer.Kind.FULL, boundedRetryMillis(wait / 2));
            }
            removeItem(evictionCandidate);
            evicted.add(evictionCandidate);
        }
        rate.onWaitStarted(now);
        items.put(item.id(), item);
        counts.merge(item.organisation(), 1, Integer::sum);
        byDeadline.add(item);
        classes.get(item.priorityClass()).add(item, ++sequence);
        return new QueueOffer<>(QueueOffer.Kind.ACCEPTED, 0, evicted);
    }

    /**
     * Removes and returns the next request in turn.
     *
     * @param now monotonic time in milliseconds
     * @param canTake whether the target of a request can take it now; tested for the first request of each target
     * @return the request, or null if there is no request whose target can take it
     */
    public QueueItem<T> poll(long now, Predicate<T> canTake) {
        for (PriorityClass priorityClass : serviceOrder()) {
            QueueItem<T> item = classes.get(priorityClass).next(canTake);
            if (item != null) {
                classes.get(priorityClass).charge(item);
                updateCredits(priorityClass, item.costTokens());
                removeItem(item);
                rate.onServed(item.costTokens(), !items.isEmpty(), now);
                return item;
            }
        }
        return null;
    }

    /** Removes and returns the requests whose deadlines have passed. These requests did not run. */
    public List<QueueItem<T>> expire(long now) {
        List<QueueItem<T>> expired = new ArrayList<>();
        while (!byDeadline.isEmpty() && byDeadline.first().deadline() <= now) {
            QueueItem<T> item = byDeadline.first();
            removeItem(item);
            expired.add(item);
        }
        endMeasurementIfEmpty();
        return expired;
    }

    /** Removes a request, for example after its caller has disconnected; returns it, or null if it is not queued. */
    public QueueItem<T> remove(String id) {
        QueueItem<T> item = items.get(id);
        if (item != null) {
            removeItem(item);
            endMeasurementIfEmpty();
        }
        return item;
    }

    /** Returns the number of queued requests. */
    public int size() {
        return items.size();
    }

    /** Returns the earliest deadline of a queued request, or {@link Long#MAX_VALUE}. */
    public long nextDeadline() {
        return byDeadline.isEmpty() ? Long.MAX_VALUE : byDeadline.first().deadline();
    }

    private List<PriorityClass> serviceOrder() {
        List<PriorityClass> lagging = new ArrayList<>();
        List<PriorityClass> others = new ArrayList<>();
        for (PriorityClass priorityClass : PriorityClass.values()) {
            if (!classes.get(priorityClass).isEmpty()) {
                (credits.get(priorityClass) > 0 ? lagging : others).add(priorityClass);
            }
        }
        lagging.addAll(others);
        return lagging;
    }

    private void updateCredits(PriorityClass served, long cost) {
        List<PriorityClass> waiting = serviceOrder();
        double limit = (double) MAX_CREDIT_QUANTA * settings.quantumTokens();
        for (PriorityClass priorityClass : waiting) {
            double credit = credits.get(priorityClass) + settings.minimumShare(priorityClass) * cost;
            credits.put(priorityClass, Math.min(limit, credit));
        }
        // The lower bound limits how long a class that received more than its share waits after requests of a higher
        // class arrive.
        credits.put(served, Math.max(credits.get(served) - cost, -cost));
    }

    private void removeItem(QueueItem<T> item) {
        items.remove(item.id());
        counts.merge(item.organisation(), -1, Integer::sum);
        counts.remove(item.organisation(), 0);
        byDeadline.remove(item);
        ClassQueue<T> queue = classes.get(item.priorityClass());
        queue.remove(item);
        if (queue.isEmpty()) {
            credits.put(item.priorityClass(), 0.0);
        }
    }

    private void endMeasurementIfEmpty() {
        if (items.isEmpty()) {
            rate.onEmpty();
        }
    }

    /**
     * Returns the newest request of the organisation with the most requests if that has at least two more than the
     * given number, otherwise null.
     */
    private QueueItem<T> evictionCandidate(int own) {
        String most = null;
        for (Map.Entry<String, Integer> entry : counts.entrySet()) {
            boolean more = most == null || entry.getValue() > counts.get(most);
            if (more && entry.getValue() > own + 1) {
                most = entry.getKey();
            }
        }
        if (most == null) {
            return null;
        }
        PriorityClass[] values = PriorityClass.values();
        for (int i = values.length - 1; i >= 0; i--) {
            QueueItem<T> last = classes.get(values[i]).lastOf(most);
            if (last != null) {
                return last;
            }
        }
        return null;
    }

    private long waitMillis(QueueItem<T> item, long now) {
        double perMilli = rate.perMilli(now);
        if (items.isEmpty() || perMilli <= 0) {
            return 0;
        }
        ClassQueue<T> queue = classes.get(item.priorityClass());
        double own = queue.tokensOf(item.organisation())
                / (perMilli * classShare(item.priorityClass()) * queue.shareOf(item.organisation()));
        long ahead = 0;
        for (ClassQueue<T> other : classes.values()) {
            ahead += other.tokens();
        }
        return (long) Math.min(own, ahead / perMilli);
    }

    private double classShare(PriorityClass priorityClass) {
        double remaining = 1;
        boolean higherWaits = false;
        for (PriorityClass other : PriorityClass.values()) {
            if (other != priorityClass && !classes.get(other).isEmpty()) {
                remaining -= settings.minimumShare(other);
                higherWaits |= other.compareTo(priorityClass) < 0;
            }
        }
        return higherWaits ? Math.max(0.01, settings.minimumShare(priorityClass)) : remaining;
    }

    private static long boundedRetryMillis(long millis) {
        return Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, millis));
    }
}
