package org.gooseberryring.host.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Generates request identifiers that are unique across all hosts and their incarnations. */
public final class RequestIds {
    private static final int RADIX = 36;

    private final String prefix;
    private final AtomicLong next = new AtomicLong();

    public RequestIds(String hostId, long incarnation) {
        this.prefix = hostId + "-" + Long.toUnsignedString(incarnation, RADIX) + "-";
    }

    public String next() {
        return prefix + Long.toString(next.incrementAndGet(), RADIX);
    }
}
