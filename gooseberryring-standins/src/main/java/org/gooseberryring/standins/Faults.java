package org.gooseberryring.standins;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.gooseberryring.protocol.Json;

/** Fault switches that are set at present; safe for use by several threads. */
public final class Faults {
    private final Map<InjectedFault, String> values = new ConcurrentHashMap<>();

    /** Sets a switch to a number; 0 clears it. */
    public void set(InjectedFault fault, long value) {
        if (value == 0) {
            values.remove(fault);
        } else {
            values.put(fault, Long.toString(value));
        }
    }

    /** Sets a switch to a text; an empty text clears it. */
    public void set(InjectedFault fault, String text) {
        if (text.isEmpty()) {
            values.remove(fault);
        } else {
            values.put(fault, text);
        }
    }

    public void clear() {
        values.clear();
    }

    public boolean on(InjectedFault fault) {
        return values.containsKey(fault);
    }

    /** Returns the number of a switch, or 0 if it is not set. */
    public long value(InjectedFault fault) {
        return Long.parseLong(values.getOrDefault(fault, "0"));
    }

    /** Returns whether a body contains the crash marker. */
    public boolean crashes(String body) {
        String marker = values.get(InjectedFault.CRASH_MARKER);
        return marker != null && body.contains(marker);
    }

    /** Uses up one of a counted fault and returns whether there was one. */
    public boolean take(InjectedFault fault) {
        boolean[] taken = new boolean[1];
        values.computeIfPresent(fault, (key, text) -> {
            taken[0] = true;
            long left = Long.parseLong(text) - 1;
            return left > 0 ? Long.toString(left) : null;
        });
        return taken[0];
    }

    /** Sets switches from a JSON object from wire name to number or text. */
    public void apply(byte[] json) {
        Json.readTree(json)
                .properties()
                .forEach(entry -> setNode(InjectedFault.ofWireName(entry.getKey()), entry.getValue()));
    }

    /** Returns the switches that are set, by wire name. */
    public Map<String, String> asMap() {
        Map<String, String> map = new TreeMap<>();
        values.forEach((fault, value) -> map.put(fault.wireName(), value));
        return map;
    }

    private void setNode(InjectedFault fault, JsonNode node) {
        if (node.isTextual()) {
            set(fault, node.textValue());
        } else {
            set(fault, node.asLong());
        }
    }
}
