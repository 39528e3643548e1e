package org.gooseberryring.coordination.queue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Deficit round-robin queue over the organisations of one priority class.
 *
 * <p>An organisation whose targets are all blocked neither delays the others nor accumulates deficit.
 *
 * @param <T> type of the requests
 */
final class ClassQueue<T> {
    private final long quantumTokens;
    private final ToIntFunction<String> weights;
    private final Map<String, OrganisationQueue<T>> organisations = new HashMap<>();
    private final List<OrganisationQueue<T>> ring = new ArrayList<>();
    private int turn;
    private long tokens;

    ClassQueue(long quantumTokens, ToIntFunction<String> weights) {
        this.quantumTokens = quantumTokens;
        this.weights = weights;
    }

    boolean isEmpty() {
        return ring.isEmpty();
    }

    long tokens() {
        return tokens;
    }

    long tokensOf(String organisation) {
        OrganisationQueue<T> queue = organisations.get(organisation);
        return queue == null ? 0 : queue.tokens();
    }

    /**
     * Returns the fraction of this class's service that an organisation gets while the currently waiting organisations
     * remain queued.
     */
    double shareOf(String organisation) {
        double own = weights.applyAsInt(organisation);
        double all = organisations.containsKey(organisation) ? 0 : own;
        for (OrganisationQueue<T> queue : ring) {
            all += weights.applyAsInt(queue.organisation());
        }
        return own / all;
    }

    void add(QueueItem<T> item, long sequence) {
        OrganisationQueue<T> queue = organisations.get(item.organisation());
        if (queue == null) {
            queue = new OrganisationQueue<>(item.organisation());
            organisations.put(item.organisation(), queue);
            ring.add(queue);
        }
        queue.add(item, sequence);
        tokens += item.costTokens();
    }

    /**
     * Returns the next request in turn whose target can take it now, or null. The request stays in the queue until it
     * is removed.
     */
    QueueItem<T> next(Predicate<T> canTake) {
        if (ring.isEmpty()) {
            return null;
        }
        int size = ring.size();
        List<QueueItem<T>> heads = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            heads.add(ring.get((turn + i) % size).first(canTake));
        }
        QueueItem<T> current = heads.get(0);
        if (current != null && ring.get(turn).deficit() >= current.costTokens()) {
            return current;
        }
        int chosen = -1;
        long rounds = Long.MAX_VALUE;
        for (int step = 1; step <= size; step++) {
            QueueItem<T> head = heads.get(step % size);
            if (head != null && roundsNeeded(ring.get((turn + step) % size), head) < rounds) {
                chosen = step;
                rounds = roundsNeeded(ring.get((turn + step) % size), head);
            }
        }
        if (chosen < 0) {
            return null;
        }
        for (int step = 1; step <= size; step++) {
            if (heads.get(step % size) != null) {
                OrganisationQueue<T> queue = ring.get((turn + step) % size);
                queue.addDeficit(quantum(queue) * (step <= chosen ? rounds : rounds - 1));
            }
        }
        turn = (turn + chosen) % size;
        return heads.get(chosen % size);
    }

    /** Charges an organisation for a request that leaves the queue. */
    void charge(QueueItem<T> item) {
        organisations.get(item.organisation()).addDeficit(-item.costTokens());
    }

    void remove(QueueItem<T> item) {
        OrganisationQueue<T> queue = organisations.get(item.organisation());
        queue.remove(item);
        tokens -= item.costTokens();
        if (queue.size() == 0) {
            // An organisation without requests loses its deficit, so that it cannot accumulate credit for a burst.
            organisations.remove(item.organisation());
            int index = ring.indexOf(queue);
            ring.remove(index);
            if (index < turn) {
                turn--;
            } else if (index == turn) {
                turn = ring.isEmpty() ? 0 : Math.floorMod(turn - 1, ring.size());
            }
        }
    }

    /** Returns the newest request of an organisation, or null. */
    QueueItem<T> lastOf(String organisation) {
        OrganisationQueue<T> queue = organisations.get(organisation);
        return queue == null ? null : queue.last();
    }

    private long roundsNeeded(OrganisationQueue<T> queue, QueueItem<T> head) {
        long missing = Math.max(0, head.costTokens() - queue.deficit());
        long quantum = quantum(queue);
        return Math.max(1, (missing + quantum - 1) / quantum);
    }

    private long quantum(OrganisationQueue<T> queue) {
        return quantumTokens * weights.applyAsInt(queue.organisation());
    }
}
