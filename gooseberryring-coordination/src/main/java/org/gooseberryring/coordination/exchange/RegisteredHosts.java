package org.gooseberryring.coordination.exchange;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the other hosts that may be alive, to divide what all hosts share.
 *
 * <p>A host that this one does not see may be cut off from it and alive, or not seen yet since this host was started.
 */
public final class RegisteredHosts {
    /**
     * Time since a registered host was last seen after which it counts as gone for good; registrations are not removed.
     */
    private static final long GONE_MILLIS = 600_000;

    private final Map<String, Long> lastSeenAt = new HashMap<>();

    /** Adds a host that is registered. */
    public void add(String host, long now) {
        lastSeenAt.putIfAbsent(host, now);
    }

    /** Removes a host that is no longer registered. */
    public void remove(String host) {
        lastSeenAt.remove(host);
    }

    /** Records the milliseconds since hosts were last seen. */
    public void updateAges(Map<String, Long> ages, long now) {
        ages.forEach((host, age) -> lastSeenAt.merge(host, now - age, Math::max));
    }

    /** Returns the number of other hosts that may be alive. */
    public int count(long now) {
        return (int)
                lastSeenAt.values().stream().filter(at -> isPossible(at, now)).count();
    }

    /** Returns the number of them that come before a host in the order of their names. */
    public int countBefore(String host, long now) {
        return (int) lastSeenAt.entrySet().stream()
                .filter(each -> each.getKey().compareTo(host) < 0 && isPossible(each.getValue(), now))
                .count();
    }

    private static boolean isPossible(long seenAt, long now) {
        return now - seenAt <= GONE_MILLIS;
    }
}
