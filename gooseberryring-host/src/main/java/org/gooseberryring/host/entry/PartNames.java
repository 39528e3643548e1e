package org.gooseberryring.host.entry;

import java.util.Collection;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.gooseberryring.coordination.crash.RequestPart;

/** Identifiers of parts of requests in the log and in stored documents. */
final class PartNames {
    private static final Pattern HEX_ID = Pattern.compile("[0-9a-f]{1,16}");
    private static final int HEX_RADIX = 16;

    private PartNames() {}

    /** Returns the identifier of a part that a stored document states in hexadecimal, empty if it is none. */
    static OptionalLong parse(String id) {
        return HEX_ID.matcher(id).matches()
                ? OptionalLong.of(Long.parseUnsignedLong(id, HEX_RADIX))
                : OptionalLong.empty();
    }

    /** Returns the identifiers of parts in hexadecimal, as callers write them, separated by commas. */
    static String of(Collection<RequestPart> parts) {
        return parts.stream().map(part -> Long.toHexString(part.id())).collect(Collectors.joining(","));
    }
}
