package org.gooseberryring.host.entry;

import java.util.Collection;
import java.util.stream.Collectors;

/** Formats prompt parts for the log. */
final class PartNames {
    private PartNames() {}

    /** Returns the identifiers of parts in hexadecimal, as callers write them, separated by commas. */
    static String of(Collection<Long> parts) {
        return parts.stream().map(Long::toHexString).collect(Collectors.joining(","));
    }
}
