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
    private static final int MAX_FAULTS_SHOWN = 20;

    private TraceReader() {}

    /**
     * Reads a trace and names its faulty lines.
     *
     * @throws CtlException if a line is malformed, incomplete or earlier than the one before it
     */
    static List<TraceLine> read(String name, byte[] bytes) {
        List<TraceLine> lines = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        String[] texts = new String(bytes, StandardCharsets.UTF_8).split("\n");
        long last = 0;
        for (int i = 0; i < texts.length && faults.size() < MAX_FAULTS_SHOWN; i++) {
            if (texts[i].isBlank()) {
                continue;
            }
            try {
                TraceLine line = Json.read(texts[i].getBytes(StandardCharsets.UTF_8), TraceLine.class);
                check(line, last);
                last = line.timeMillis();
                lines.add(line);
            } catch (GooseberryringException | IllegalArgumentException e) {
                faults.add("  line " + (i + 1) + ": " + e.getMessage());
            }
        }
        if (!faults.isEmpty()) {
            throw new CtlException(
                    ExitCode.BAD_INPUT, "The trace " + name + " has faults:\n" + String.join("\n", faults));
        }
        return lines;
    }

    private static void check(TraceLine line, long last) {
        if (line.timeMillis() < last) {
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
