package org.gooseberryring.coordination.crash;

import java.util.LinkedHashMap;
import java.util.Map;

/** Parts of requests that endpoints have answered, with the time of the last answer. */
final class AnsweredParts {
    /** Limits memory to about a megabyte; the part whose last answer is the oldest is evicted first. */
    static final int MAX_PARTS = 4_096;

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<RequestPart, Answered> parts = new LinkedHashMap<>(64, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestPart, Answered> eldest) {
            return size() > MAX_PARTS;
        }
    };

    /** Time of the last answer, and whether the other hosts know of an answer. */
    private static final class Answered {
        private long at;
        private boolean told;
    }

    /** Records an answer that this host passed on. */
    void record(RequestPart part, long at) {
        Answered known = parts.computeIfAbsent(part, key -> new Answered());
        known.at = Math.max(known.at, at);
    }

    /** Records an answer that all hosts know of. */
    void recordTold(RequestPart part, long at) {
        record(part, at);
        parts.get(part).told = true;
    }

    /** Returns whether an answer to a request with the part is known. */
    boolean contains(RequestPart part) {
        return parts.containsKey(part);
    }

    /** Returns whether an answer to a request with the part since the given time is known. */
    boolean isAnsweredSince(RequestPart part, long at) {
        return parts.containsKey(part) && parts.get(part).at >= at;
    }

    /** Returns whether the other hosts know of an answer to a request with the part. */
    boolean isTold(RequestPart part) {
        Answered known = parts.get(part);
        return known != null && known.told;
    }

    /** Returns the time of the last answer to a request with a known part. */
    long lastAt(RequestPart part) {
        return parts.get(part).at;
    }

    int size() {
        return parts.size();
    }
}
