package org.gooseberryring.host.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/** Reads the fields of one JSON object and collects all faults with their paths. */
final class JsonSection {
    private static final String NOT_AN_ADDRESS = "must be an IP address and a port, as 10.0.0.1:8080";
    private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;

    private final JsonNode node;
    private final String path;
    private final List<String> faults;
    private final Set<String> known = new HashSet<>();

    JsonSection(JsonNode node, String path, List<String> faults) {
        this.node = node;
        this.path = path;
        this.faults = faults;
        if (!node.isObject()) {
            addFault("must be an object");
        }
    }

    String text(String name, Pattern pattern) {
        JsonNode value = required(name);
        if (value == null) {
            return "";
        }
        if (!value.isTextual() || !pattern.matcher(value.textValue()).matches()) {
            addFault(name, "must be a string that matches " + pattern.pattern());
            return "";
        }
        return value.textValue();
    }

    long number(String name, long defaultValue, long min, long max) {
        known.add(name);
        JsonNode value = node.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            addFault(name, "must be an integer");
            return defaultValue;
        }
        long number = value.longValue();
        if (number < min || number > max) {
            addFault(name, "must be from " + min + " to " + max + ", not " + number);
        }
        return number;
    }

    int ringSize(String name, int defaultValue, int max) {
        int size = (int) number(name, defaultValue, 2, max);
        if (Integer.bitCount(size) != 1) {
            addFault(name, "must be a power of two, not " + size);
        }
        return size;
    }

    InetSocketAddress address(String name) {
        JsonNode value = required(name);
        if (value == null) {
            return null;
        }
        Matcher matcher = ADDRESS.matcher(value.asText());
        if (!matcher.matches()) {
            addFault(name, NOT_AN_ADDRESS);
            return null;
        }
        int port = Integer.parseInt(matcher.group(2));
        if (port > MAX_PORT) {
            addFault(name, "port must be from 0 to " + MAX_PORT + ", not " + port);
            return null;
        }
        InetSocketAddress address = new InetSocketAddress(matcher.group(1), port);
        if (address.isUnresolved()) {
            addFault(name, NOT_AN_ADDRESS);
        }
        return address;
    }

    URI uri(String name, Pattern pattern) {
        String text = text(name, pattern);
        try {
            return text.isEmpty() ? null : URI.create(text);
        } catch (IllegalArgumentException e) {
            addFault(name, "must be a URI");
            return null;
        }
    }

    /** Returns the object with the given name, or an empty object if it is absent. */
    JsonSection section(String name) {
        known.add(name);
        JsonNode value = node.get(name);
        return new JsonSection(value == null ? JsonNodeFactory.instance.objectNode() : value, childPath(name), faults);
    }

    List<JsonSection> sections(String name) {
        known.add(name);
        JsonNode value = node.get(name);
        List<JsonSection> sections = new ArrayList<>();
        if (value == null) {
            return sections;
        }
        if (!value.isArray()) {
            addFault(name, "must be an array");
        }
        for (int i = 0; i < value.size(); i++) {
            sections.add(new JsonSection(value.get(i), childPath(name) + "[" + i + "]", faults));
        }
        return sections;
    }

    /** Reports every field that was not read, because a misspelt field would otherwise be ignored silently. */
    void reportUnknownFields() {
        node.fieldNames().forEachRemaining(name -> {
            if (!known.contains(name)) {
                addFault(name, "is unknown");
            }
        });
    }

    void addFault(String name, String reason) {
        faults.add(childPath(name) + ": " + reason);
    }

    private void addFault(String reason) {
        faults.add((path.isEmpty() ? "$" : path) + ": " + reason);
    }

    private JsonNode required(String name) {
        known.add(name);
        JsonNode value = node.get(name);
        if (value == null) {
            addFault(name, "is missing");
        }
        return value;
    }

    private String childPath(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }
}
