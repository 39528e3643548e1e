package org.gooseberryring.standins;

import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Values of the request headers that a stand-in has seen, by lower-case name. */
final class HeaderLog {
    private static final int MAX_VALUES = 256;

    private final Map<String, Set<String>> values = new TreeMap<>();

    synchronized void note(Call call) {
        call.headers().forEach(header -> {
            String name = header.getHeaderName().toString().toLowerCase(Locale.ROOT);
            Set<String> seen = values.computeIfAbsent(name, key -> new TreeSet<>());
            if (seen.size() < MAX_VALUES) {
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
