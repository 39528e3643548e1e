package org.gooseberryring.ctl.command;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/** Renders a JSON document as text: simple fields as lines, lists and maps of objects as tables. */
final class JsonTable {
    private static final String GAP = "  ";
    private static final String KEY = "id";

    private JsonTable() {}

    static String render(JsonNode document) {
        StringBuilder lines = new StringBuilder();
        StringBuilder tables = new StringBuilder();
        document.properties().forEach(entry -> {
            List<Map<String, String>> rows = rows(entry.getValue());
            if (rows == null) {
                lines.append(entry.getKey())
                        .append(": ")
                        .append(text(entry.getValue()))
                        .append('\n');
            } else if (!rows.isEmpty()) {
                tables.append('\n').append(entry.getKey()).append('\n').append(table(rows));
            }
        });
        return lines.append(tables).toString().stripTrailing();
    }

    /** Returns the rows of a list or map of objects, or null if the node is neither. */
    private static List<Map<String, String>> rows(JsonNode node) {
        List<Map<String, String>> rows = new ArrayList<>();
        if (node.isArray()) {
            for (JsonNode element : node) {
                if (!element.isObject()) {
                    return null;
                }
                rows.add(row(element));
            }
            return node.isEmpty() ? null : rows;
        }
        if (!node.isObject() || node.isEmpty()) {
            return null;
        }
        for (Map.Entry<String, JsonNode> entry : node.properties()) {
            if (!entry.getValue().isObject()) {
                return null;
            }
            Map<String, String> row = new LinkedHashMap<>();
            row.put(KEY, entry.getKey());
            row.putAll(row(entry.getValue()));
            rows.add(row);
        }
        return rows;
    }

    private static Map<String, String> row(JsonNode object) {
        Map<String, String> row = new LinkedHashMap<>();
        object.properties().forEach(entry -> row.put(entry.getKey(), text(entry.getValue())));
        return row;
    }

    private static String text(JsonNode node) {
        if (node.isArray()) {
            List<String> parts = new ArrayList<>();
            node.forEach(element -> parts.add(text(element)));
            return String.join(",", parts);
        }
        if (node.isObject() && node.has("model") && node.has("version")) {
            String adapter = node.path("adapter").asText("");
            return node.path("model").asText() + (adapter.isEmpty() ? "" : ":" + adapter) + "@"
                    + node.path("version").asText();
        }
        return node.isValueNode() ? node.asText() : node.toString();
    }

    private static String table(List<Map<String, String>> rows) {
        Set<String> columns = new LinkedHashSet<>();
        rows.forEach(row -> columns.addAll(row.keySet()));
        Map<String, Integer> widths = new LinkedHashMap<>();
        for (String column : columns) {
            int width = rows.stream()
                    .mapToInt(row -> row.getOrDefault(column, "").length())
                    .max()
                    .orElse(0);
            widths.put(column, Math.max(width, column.length()));
        }
        StringBuilder text = new StringBuilder();
        Map<String, String> header = new LinkedHashMap<>();
        columns.forEach(column -> header.put(column, column));
        appendRow(text, widths, header);
        rows.forEach(row -> appendRow(text, widths, row));
        return text.toString();
    }

    private static void appendRow(StringBuilder text, Map<String, Integer> widths, Map<String, String> row) {
        StringBuilder line = new StringBuilder();
        widths.forEach((column, width) -> {
            String value = row.getOrDefault(column, "");
            line.append(GAP).append(value).append(" ".repeat(width - value.length()));
        });
        text.append(line.toString().stripTrailing()).append('\n');
    }
}
