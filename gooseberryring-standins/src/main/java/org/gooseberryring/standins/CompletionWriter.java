package org.gooseberryring.standins;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import org.gooseberryring.protocol.Json;

/** Writes the response to one run at the configured token intervals, as an event stream or as one document. */
final class CompletionWriter {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String JSON = "application/json";
    private static final String DONE = "data: [DONE]\n\n";
    private static final String OTHER_REQUEST_ID = "another-request";

    private final EngineRun run;
    private final EngineSettings settings;
    private final Faults faults;
    private final BiConsumer<EngineRun, Boolean> onEnd;
    private final long cutAfterBytes;
    private final boolean stall;
    private final boolean wrongId;
    private long writtenBytes;
    private int nextIndex;

    CompletionWriter(EngineRun run, EngineSettings settings, Faults faults, BiConsumer<EngineRun, Boolean> onEnd) {
        this.run = run;
        this.settings = settings;
        this.faults = faults;
        this.onEnd = onEnd;
        this.cutAfterBytes = faults.consume(InjectedFault.CUT_ANSWERS)
                ? faults.value(InjectedFault.CUT_AFTER_BYTES)
                : Long.MAX_VALUE;
        this.stall = faults.consume(InjectedFault.STALL_ANSWERS);
        this.wrongId = faults.consume(InjectedFault.WRONG_REQUEST_ID);
    }

    void start() {
        Call call = run.call();
        call.setResponseHeader("X-Request-Id", wrongId ? OTHER_REQUEST_ID : run.requestId());
        long firstTokenDelayMillis = settings.firstTokenMillis() + faults.value(InjectedFault.SLOW_MILLIS);
        call.runAfter(
                firstTokenDelayMillis,
                run.isStreaming() ? this::startStream : () -> generateTokens(this::writeDocument));
    }

    private void startStream() {
        run.call().beginChunkedResponse(200, EVENT_STREAM);
        writeEvents();
    }

    private void writeEvents() {
        if (run.isEnded()) {
            return;
        }
        if (run.isCancelled() || nextIndex >= run.tokens()) {
            finishStream();
            return;
        }
        if (stall && nextIndex == 1) {
            return;
        }
        if (settings.tokenMillis() > 0) {
            write(tokenEvent(nextIndex++), () -> run.call().runAfter(settings.tokenMillis(), this::writeEvents));
            return;
        }
        StringBuilder events = new StringBuilder(tokenEvent(nextIndex++));
        while (!stall && nextIndex < run.tokens()) {
            events.append(tokenEvent(nextIndex++));
        }
        write(events.toString(), this::writeEvents);
    }

    private void finishStream() {
        write(usageEvent() + DONE, () -> {
            onEnd.accept(run, !run.isCancelled());
            run.call().endResponse();
        });
    }

    private void generateTokens(Runnable continuation) {
        if (run.isEnded()) {
            return;
        }
        nextIndex++;
        if (run.isCancelled() || nextIndex >= run.tokens() || settings.tokenMillis() == 0) {
            continuation.run();
            return;
        }
        run.call().runAfter(settings.tokenMillis(), () -> generateTokens(continuation));
    }

    private void writeDocument() {
        Map<String, Object> document = commonFields();
        String text = EngineRun.expectedText(prompt(), run.tokens());
        String reason = run.isCancelled() ? "cancelled" : "stop";
        document.put(
                "choices",
                List.of(
                        run.isChat()
                                ? Map.of(
                                        "index",
                                        0,
                                        "message",
                                        Map.of("role", "assistant", "content", text),
                                        "finish_reason",
                                        reason)
                                : Map.of("index", 0, "text", text, "finish_reason", reason)));
        document.put("usage", usage());
        String json = Json.writeString(document);
        run.call().beginResponse(200, JSON, json.getBytes(StandardCharsets.UTF_8).length);
        if (stall) {
            run.call().write(json.substring(0, 1).getBytes(StandardCharsets.UTF_8), () -> {});
            return;
        }
        int last = json.length() - 1;
        if (writtenBytes + json.getBytes(StandardCharsets.UTF_8).length > cutAfterBytes) {
            write(json, () -> {});
            return;
        }
        // Ends the run before the last byte is sent: a client may send its next request after it has read that byte.
        write(json.substring(0, last), () -> {
            onEnd.accept(run, !run.isCancelled());
            write(json.substring(last), run.call()::endResponse);
        });
    }

    private void write(String text, Runnable continuation) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (writtenBytes + bytes.length > cutAfterBytes) {
            byte[] part = Arrays.copyOf(bytes, (int) (cutAfterBytes - writtenBytes));
            run.call().write(part, () -> {
                onEnd.accept(run, false);
                run.call().closeConnection();
            });
            return;
        }
        writtenBytes += bytes.length;
        run.call().write(bytes, continuation);
    }

    private String tokenEvent(int index) {
        Map<String, Object> document = commonFields();
        String token = EngineRun.token(prompt(), index);
        document.put(
                "choices",
                List.of(
                        run.isChat()
                                ? Map.of("index", 0, "delta", Map.of("content", token))
                                : Map.of("index", 0, "text", token)));
        return eventData(document);
    }

    private String usageEvent() {
        Map<String, Object> document = commonFields();
        document.put("choices", List.of());
        document.put("usage", usage());
        return eventData(document);
    }

    private static String eventData(Object document) {
        return "data: " + Json.writeString(document) + "\n\n";
    }

    private Map<String, Object> commonFields() {
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("id", wrongId ? OTHER_REQUEST_ID : run.requestId());
        document.put("object", run.isChat() ? "chat.completion" : "text_completion");
        document.put("model", run.artifact().toString());
        return document;
    }

    private Map<String, Integer> usage() {
        int output = run.isStreaming() ? nextIndex : run.tokens();
        return Map.of(
                "prompt_tokens",
                run.promptTokens(),
                "completion_tokens",
                output,
                "total_tokens",
                run.promptTokens() + output);
    }

    private String prompt() {
        return wrongId ? OTHER_REQUEST_ID : run.prompt();
    }
}
