package org.gooseberryring.transport.http;

import java.util.Locale;

/** Part of a response that violates the grammar of HTTP. */
public enum ResponseFault {
    /** The status line or a header, or a byte between them. */
    MALFORMED_HEAD,
    /** Statements of the head on the length of the body that contradict each other, or of which one is none. */
    AMBIGUOUS_LENGTH,
    /** A chunk, its size or a trailer. */
    MALFORMED_CHUNK;

    /** Returns the name of the fault in log events. */
    public String logName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
