package org.gooseberryring.coordination.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Calls of a feed that wait for a response: a call and, if its response is overdue, the same call once more on another
 * connection. A connection on which a response was lost responds no more.
 *
 * <p>A call whose response does not come in time is given up, so that another one is made, but a late response to it still
 * counts: a host that is itself late would otherwise drop every response.
 */
final class OpenCalls {
    /** Time beyond its wait after which a watch is given up. */
    private static final long WATCH_GIVE_UP_MILLIS = 500;

    /** Time after which a call for a page of the list is given up; a page may be large. */
    private static final long LIST_GIVE_UP_MILLIS = 1_000;

    private final List<Sent> sent = new ArrayList<>();
    private final List<Sent> givenUp = new ArrayList<>();

    private record Sent(FeedCall call, long at) {
        private boolean isLate(long now) {
            return now > giveUpAt(call, at);
        }
    }

    /** Returns the time at which a call that was sent at a time is given up. */
    static long giveUpAt(FeedCall call, long sentAt) {
        long beyondWait = call instanceof FeedCall.Watch ? WATCH_GIVE_UP_MILLIS : LIST_GIVE_UP_MILLIS;
        return sentAt + call.waitMillis() + beyondWait;
    }

    /** Returns whether no response is expected, other than those to calls that were given up. */
    boolean isEmpty() {
        return sent.isEmpty();
    }

    /** Gives up the calls whose responses are late; returns whether the last one whose response was expected was among them. */
    boolean giveUpLate(long now) {
        sent.stream().filter(each -> each.isLate(now)).forEach(givenUp::add);
        return sent.removeIf(each -> each.isLate(now)) && sent.isEmpty();
    }

    /** Returns the call with the given number whose response counts. */
    Optional<FeedCall> find(long id) {
        return all().map(Sent::call).filter(call -> call.id() == id).findFirst();
    }

    private Stream<Sent> all() {
        return Stream.concat(sent.stream(), givenUp.stream());
    }

    /** Returns the time at which an open call was sent, in milliseconds. */
    long sentAt(long id) {
        return all().filter(each -> each.call().id() == id)
                .mapToLong(Sent::at)
                .findFirst()
                .orElseThrow();
    }

    /** Returns whether the first page of the list is being read. */
    boolean isFirstPage() {
        return all().anyMatch(each -> isFirstPage(each.call()));
    }

    static boolean isFirstPage(FeedCall call) {
        return call instanceof FeedCall.ListPage list && list.after().isEmpty();
    }

    void add(FeedCall call, long now) {
        sent.add(new Sent(call, now));
    }

    /** Removes a call; returns whether it was the last one whose response was expected. */
    boolean remove(long id) {
        givenUp.removeIf(each -> each.call().id() == id);
        return sent.removeIf(each -> each.call().id() == id) && sent.isEmpty();
    }

    void clear() {
        sent.clear();
        givenUp.clear();
    }

    /**
     * Returns the only open call if its response is overdue.
     *
     * @param changedSince time since which the store has a change for the call, at which it ends its wait
     */
    Optional<FeedCall> overdue(long overdueMillis, long changedSince, long now) {
        if (sent.size() != 1) {
            return Optional.empty();
        }
        Sent only = sent.get(0);
        long endOfWait = only.at() + only.call().waitMillis();
        long expectedAt = Math.min(endOfWait, Math.max(only.at(), changedSince));
        return now - expectedAt > overdueMillis ? Optional.of(only.call()) : Optional.empty();
    }
}
