package org.gooseberryring.standins;

import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Request header values that a stand-in has received, by lower-case header name. */
final class HeaderLog {
    private static final int MAX_VALUES_PER_HEADER = 256;

    private final Map<String, Set<String>> values = new TreeMap<>();

    synchronized void recordHeaders(Call call) {
        call.headers().forEach(header -> {
            String name = header.getHeaderName().toString().toLowerCase(Locale.ROOT);
            Set<String> seen = values.computeIfAbsent(name, key -> new TreeSet<>());
            if (seen.size() < MAX_VALUES_PER_HEADER) {
                seen.addAll(header);
            }
        });
    }

    synchronized Map<String, Set<String>> seen() {
        Map<String, Set<String>> copy = new TreeMap<>();
        values.forEach((name, set) -> copy.put(name, new TreeSet<>(set)));
        return copy;
    }
}
