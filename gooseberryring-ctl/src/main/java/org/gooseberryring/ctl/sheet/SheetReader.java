package org.gooseberryring.ctl.sheet;

import java.io.IOException;
import java.io.StringReader;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.SheetRow;

/** Parses the planners' sheet and collects all errors in it. */
public final class SheetReader {
    private static final List<String> COLUMNS = List.of("model", "adapter", "version", "replicas", "endpoints");
    private static final String HEADER = String.join(",", COLUMNS);
    private static final int MODEL = 0;
    private static final int ADAPTER = 1;
    private static final int VERSION = 2;
    private static final int REPLICAS = 3;
    private static final int ENDPOINTS = 4;
    // Same formats as in the configuration; the identifier of a model may also contain slashes.
    private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
    private static final Pattern MODEL_IDENTIFIER = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/-]{0,127}");
    private static final String NOT_IDENTIFIER =
            "is not an identifier (letters, digits, '.', '_' and '-', starting with a letter or digit, at most 128)";
    private static final int MAX_REPLICAS = 100_000;
    private static final String BYTE_ORDER_MARK = "\uFEFF";

    private final List<SheetRow> rows = new ArrayList<>();
    private final List<SheetError> errors = new ArrayList<>();
    private final Map<Artifact, Long> lines = new LinkedHashMap<>();

    private SheetReader() {}

    /** Parses a sheet in UTF-8; problems are returned as errors and never thrown. */
    public static SheetFile read(byte[] bytes) {
        SheetReader reader = new SheetReader();
        try {
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
            reader.parseText(text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text);
        } catch (CharacterCodingException e) {
            reader.addError(1, "", "the file is not UTF-8 text");
        }
        return new SheetFile(reader.rows, List.copyOf(reader.lines.values()), reader.errors);
    }

    private void parseText(String text) {
        CSVFormat format = CSVFormat.RFC4180
                .builder()
                .setIgnoreEmptyLines(true)
                .setTrim(true)
                .get();
        try (CSVParser parser = CSVParser.parse(new StringReader(text), format)) {
            parseRecords(parser);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void parseRecords(CSVParser parser) {
        try {
            Iterator<CSVRecord> records = parser.iterator();
            if (!records.hasNext()) {
                addError(1, "", "the sheet is empty; it must start with the header " + HEADER);
                return;
            }
            CSVRecord header = records.next();
            if (!checkHeader(firstLine(parser, header), header)) {
                return;
            }
            while (records.hasNext()) {
                CSVRecord record = records.next();
                parseRow(firstLine(parser, record), record);
            }
        } catch (UncheckedIOException e) {
            addError(parser.getCurrentLineNumber(), "", "is not valid CSV: " + e.getMessage());
        }
    }

    private static long firstLine(CSVParser parser, CSVRecord record) {
        long lineBreaks = 0;
        for (String value : record) {
            lineBreaks += value.chars().filter(c -> c == '\n').count();
        }
        return Math.max(1, parser.getCurrentLineNumber() - lineBreaks);
    }

    private boolean checkHeader(long line, CSVRecord record) {
        if (!record.toList().equals(COLUMNS)) {
            addError(line, "", "the header must be " + HEADER + ", not " + String.join(",", record));
            return false;
        }
        return true;
    }

    private void parseRow(long line, CSVRecord record) {
        if (record.size() != COLUMNS.size()) {
            addError(line, "", "has " + record.size() + " columns instead of " + COLUMNS.size());
            return;
        }
        int errorsBefore = errors.size();
        String model = identifier(line, record, MODEL);
        String adapter = record.get(ADAPTER).isEmpty() ? null : identifier(line, record, ADAPTER);
        String version = identifier(line, record, VERSION);
        int replicas = replicas(line, record.get(REPLICAS));
        List<String> endpoints = endpoints(line, record.get(ENDPOINTS));
        if (errors.size() > errorsBefore) {
            return;
        }
        Artifact artifact = new Artifact(model, adapter, version);
        Long earlierLine = lines.putIfAbsent(artifact, line);
        if (earlierLine != null) {
            addError(line, COLUMNS.get(MODEL), artifact + " is already on line " + earlierLine);
            return;
        }
        rows.add(new SheetRow(artifact, replicas, endpoints));
    }

    private String identifier(long line, CSVRecord record, int column) {
        String value = record.get(column);
        if (value.isEmpty()) {
            addError(line, COLUMNS.get(column), "is missing");
        } else if (!(column == MODEL ? MODEL_IDENTIFIER : IDENTIFIER)
                .matcher(value)
                .matches()) {
            addError(line, COLUMNS.get(column), quote(value) + " " + NOT_IDENTIFIER);
        }
        return value;
    }

    private int replicas(long line, String value) {
        try {
            int replicas = Integer.parseInt(value);
            if (replicas >= 1 && replicas <= MAX_REPLICAS) {
                return replicas;
            }
        } catch (NumberFormatException e) {
            // Reported below, together with numbers out of range.
        }
        addError(line, COLUMNS.get(REPLICAS), quote(value) + " is not a whole number from 1 to " + MAX_REPLICAS);
        return 0;
    }

    private List<String> endpoints(long line, String value) {
        if (value.isEmpty()) {
            return List.of();
        }
        Set<String> seen = new HashSet<>();
        List<String> endpoints = new ArrayList<>();
        for (String part : value.split(";", -1)) {
            String endpoint = part.strip();
            if (!IDENTIFIER.matcher(endpoint).matches()) {
                addError(line, COLUMNS.get(ENDPOINTS), quote(endpoint) + " " + NOT_IDENTIFIER);
            } else if (!seen.add(endpoint)) {
                addError(line, COLUMNS.get(ENDPOINTS), quote(endpoint) + " is listed twice");
            }
            endpoints.add(endpoint);
        }
        return endpoints;
    }

    private void addError(long line, String column, String reason) {
        errors.add(new SheetError(line, column, reason));
    }

    private static String quote(String value) {
        return "'" + value + "'";
    }
}
