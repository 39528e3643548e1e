package org.gooseberryring.ctl.explain;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Event of a host's log.
 *
 * @param at wall clock of the host in milliseconds since the Unix epoch
 * @param host host that wrote the event
 * @param name name of the event
 * @param fields other fields by name, in the order of the log line
 */
record LogEvent(long atMillis, String host, String name, Map<String, String> fields) {
    private static final String AT = "at=";

    /**
     * Parses a line of a log.
     *
     * @param line line of a log; log collectors may add a prefix before the time, whose last word is the host
     * @param defaultHost host to use if the line has no such prefix
     * @return the event, empty if the line is not an event
     */
    static Optional<LogEvent> parse(String line, String defaultHost) {
        int start = line.startsWith(AT) ? 0 : line.indexOf(' ' + AT) + 1;
        if (!line.startsWith(AT, start)) {
            return Optional.empty();
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String word : line.substring(start).split(" ")) {
            int equals = word.indexOf('=');
            if (equals > 0) {
                fields.put(word.substring(0, equals), word.substring(equals + 1));
            }
        }
        String at = fields.remove("at");
        String name = fields.remove("event");
        fields.remove("level");
        if (name == null || !at.matches("[0-9]{1,18}")) {
            return Optional.empty();
        }
        String before = line.substring(0, start).strip();
        String host = before.isEmpty() ? defaultHost : before.substring(before.lastIndexOf(' ') + 1);
        return Optional.of(new LogEvent(Long.parseLong(at), host, name, fields));
    }

    boolean hasName(String eventName) {
        return name.equals(eventName);
    }

    /** Returns the value of a field, or an empty string if the event does not have it. */
    String field(String key) {
        return fields.getOrDefault(key, "");
    }

    /** Returns the name and the fields as the host wrote them, except for one field. */
    String text(String without) {
        StringBuilder text = new StringBuilder(name);
        fields.forEach((key, value) -> {
            if (!key.equals(without)) {
                text.append(' ').append(key).append('=').append(value);
            }
        });
        return text.toString();
    }
}
