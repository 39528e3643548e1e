package org.gooseberryring.standins;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.gooseberryring.protocol.Json;

/** Fault switches that are currently set. This class is thread-safe. */
public final class Faults {
    private final Map<InjectedFault, String> values = new ConcurrentHashMap<>();

    /** Sets a switch to a number; 0 clears the switch. */
    public void set(InjectedFault fault, long value) {
        if (value == 0) {
            values.remove(fault);
        } else {
            values.put(fault, Long.toString(value));
        }
    }

    /** Sets a switch to a text; an empty text clears the switch. */
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

    public boolean isSet(InjectedFault fault) {
        return values.containsKey(fault);
    }

    /** Returns the number that a switch is set to, or 0 if it is not set. */
    public long value(InjectedFault fault) {
        return Long.parseLong(values.getOrDefault(fault, "0"));
    }

    /** Returns whether a body contains the crash marker. */
    public boolean containsCrashMarker(String body) {
        String marker = values.get(InjectedFault.CRASH_MARKER);
        return marker != null && body.contains(marker);
    }

    /** Decrements the counter of a fault and returns whether the fault was set. */
    public boolean consume(InjectedFault fault) {
        boolean[] consumed = new boolean[1];
        values.computeIfPresent(fault, (key, text) -> {
            consumed[0] = true;
            long remaining = Long.parseLong(text) - 1;
            return remaining > 0 ? Long.toString(remaining) : null;
        });
        return consumed[0];
    }

    /** Sets switches from a JSON object that maps wire names to numbers or texts. */
    public void setFromJson(byte[] json) {
        Json.readTree(json)
                .properties()
                .forEach(entry -> setNode(InjectedFault.ofWireName(entry.getKey()), entry.getValue()));
    }

    /** Returns the values of the switches that are set, by wire name. */
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
