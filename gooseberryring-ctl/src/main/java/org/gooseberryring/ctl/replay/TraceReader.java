package org.gooseberryring.ctl.replay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.GooseberryringException;

/** Reads traces in JSON Lines. */
final class TraceReader {
    private static final int MAX_REPORTED_ERRORS = 20;

    private TraceReader() {}

    /**
     * Reads a trace.
     *
     * @throws CtlException if a line is malformed, incomplete or earlier than the line before; it lists the invalid lines
     */
    static List<TraceLine> read(String name, byte[] bytes) {
        List<TraceLine> lines = new ArrayList<>();
        List<String> errors = new ArrayList<>();
        String[] textLines = new String(bytes, StandardCharsets.UTF_8).split("\n");
        long lastMillis = 0;
        for (int i = 0; i < textLines.length && errors.size() < MAX_REPORTED_ERRORS; i++) {
            if (textLines[i].isBlank()) {
                continue;
            }
            try {
                TraceLine line = Json.read(textLines[i].getBytes(StandardCharsets.UTF_8), TraceLine.class);
                check(line, lastMillis);
                lastMillis = line.timeMillis();
                lines.add(line);
            } catch (GooseberryringException | IllegalArgumentException e) {
                errors.add("  line " + (i + 1) + ": " + e.getMessage());
            }
        }
        if (!errors.isEmpty()) {
            throw new CtlException(
                    ExitCode.BAD_INPUT, "The trace " + name + " is invalid:\n" + String.join("\n", errors));
        }
        return lines;
    }

    private static void check(TraceLine line, long lastMillis) {
        if (line.timeMillis() < lastMillis) {
            throw new IllegalArgumentException("timeMillis is earlier than on the line before");
        }
        if (!line.request()) {
            return;
        }
        if (line.organisation() == null || line.model() == null) {
            throw new IllegalArgumentException("organisation or model is missing");
        }
        if (line.promptTokens() < 1 || line.outputTokens() < 1) {
            throw new IllegalArgumentException("promptTokens and outputTokens must be at least 1");
        }
    }
}
