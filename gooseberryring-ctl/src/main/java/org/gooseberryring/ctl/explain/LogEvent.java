package org.gooseberryring.ctl.explain;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One line of a host's log.
 *
 * @param at wall clock of the host in milliseconds since the Unix epoch
 * @param host host that wrote it
 * @param name name of the event
 * @param fields its other fields by name, in their order
 */
record LogEvent(long at, String host, String name, Map<String, String> fields) {
    private static final String AT = "at=";

    /**
     * Reads a line.
     *
     * @param line line of a log; what stands before the time, as collectors of logs add it, names the host with its last
     *     word
     * @param file host that wrote the line if the line does not name it
     * @return the event, empty if the line is none
     */
    static Optional<LogEvent> parse(String line, String file) {
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
        String host = before.isEmpty() ? file : before.substring(before.lastIndexOf(' ') + 1);
        return Optional.of(new LogEvent(Long.parseLong(at), host, name, fields));
    }

    boolean is(String eventName) {
        return name.equals(eventName);
    }

    /** Returns a field, empty if the line does not have it. */
    String field(String key) {
        return fields.getOrDefault(key, "");
    }

    /** Returns the event and its fields as the host wrote them, without the given field. */
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
