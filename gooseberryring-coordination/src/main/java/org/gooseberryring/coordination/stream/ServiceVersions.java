package org.gooseberryring.coordination.stream;

import java.util.HashMap;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;

/** Software versions that serve a service, or did a short time ago. */
final class ServiceVersions {
    private final Map<String, String> byEndpoint = new HashMap<>();
    private final Map<String, Long> seenUntil = new HashMap<>();

    /** Adds an endpoint or changes its version; returns the version that it had, null if it is new. */
    String register(String endpoint, String version) {
        return byEndpoint.put(endpoint, version);
    }

    /** Removes an endpoint; returns its version, null if it is not known. */
    String remove(String endpoint) {
        return byEndpoint.remove(endpoint);
    }

    /** Returns whether an endpoint has a version, or is not registered any more. */
    boolean hasVersion(String endpoint, String version) {
        return version.equals(byEndpoint.getOrDefault(endpoint, version));
    }

    /** Counts a version as one that may have begun streams until a time, even if no endpoint has it. */
    void keep(String version, long until) {
        seenUntil.merge(version, until, Math::max);
    }

    /** Returns the versions that may have begun a stream that callers can still take up. */
    SortedSet<String> possible(long now) {
        SortedSet<String> versions = new TreeSet<>(byEndpoint.values());
        seenUntil.forEach((version, until) -> {
            if (now <= until) {
                versions.add(version);
            }
        });
        return versions;
    }

    void expire(long now) {
        seenUntil.values().removeIf(until -> until < now);
    }

    boolean isEmpty() {
        return byEndpoint.isEmpty() && seenUntil.isEmpty();
    }
}
