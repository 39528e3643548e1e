package org.gooseberryring.standins;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import org.gooseberryring.protocol.Json;

/** Writes the answer of one run at the engine's pace, as events or as one document. */
final class CompletionWriter {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String JSON = "application/json";
    private static final String DONE = "data: [DONE]\n\n";
    private static final String OTHER_ID = "another-request";

    private final EngineRun run;
    private final EngineSettings settings;
    private final Faults faults;
    private final BiConsumer<EngineRun, Boolean> ended;
    private final long cutAfter;
    private final boolean stall;
    private final boolean wrongId;
    private long written;
    private int next;

    CompletionWriter(EngineRun run, EngineSettings settings, Faults faults, BiConsumer<EngineRun, Boolean> ended) {
        this.run = run;
        this.settings = settings;
        this.faults = faults;
        this.ended = ended;
        this.cutAfter =
                faults.take(InjectedFault.CUT_ANSWERS) ? faults.value(InjectedFault.CUT_AFTER_BYTES) : Long.MAX_VALUE;
        this.stall = faults.take(InjectedFault.STALL_ANSWERS);
        this.wrongId = faults.take(InjectedFault.WRONG_REQUEST_ID);
    }

    void start() {
        Call call = run.call();
        call.respondWith("X-Request-Id", wrongId ? OTHER_ID : run.requestId());
        long first = settings.firstTokenMillis() + faults.value(InjectedFault.SLOW_MILLIS);
        call.after(first, run.stream() ? this::startStream : () -> nextToken(this::writeDocument));
    }

    private void startStream() {
        run.call().beginChunked(200, EVENT_STREAM);
        writeEvents();
    }

    private void writeEvents() {
        if (run.ended()) {
            return;
        }
        if (run.cancelled() || next >= run.tokens()) {
            finishStream();
            return;
        }
        if (stall && next == 1) {
            return;
        }
        if (settings.tokenMillis() > 0) {
            write(event(next++), () -> run.call().after(settings.tokenMillis(), this::writeEvents));
            return;
        }
        StringBuilder events = new StringBuilder(event(next++));
        while (!stall && next < run.tokens()) {
            events.append(event(next++));
        }
        write(events.toString(), this::writeEvents);
    }

    private void finishStream() {
        write(usageEvent() + DONE, () -> {
            ended.accept(run, !run.cancelled());
            run.call().end();
        });
    }

    private void nextToken(Runnable then) {
        if (run.ended()) {
            return;
        }
        next++;
        if (run.cancelled() || next >= run.tokens() || settings.tokenMillis() == 0) {
            then.run();
            return;
        }
        run.call().after(settings.tokenMillis(), () -> nextToken(then));
    }

    private void writeDocument() {
        Map<String, Object> document = head();
        String text = EngineRun.expectedText(prompt(), run.tokens());
        String reason = run.cancelled() ? "cancelled" : "stop";
        document.put(
                "choices",
                List.of(
                        run.chat()
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
        run.call().begin(200, JSON, json.getBytes(StandardCharsets.UTF_8).length);
        if (stall) {
            run.call().write(json.substring(0, 1).getBytes(StandardCharsets.UTF_8), () -> {});
            return;
        }
        int last = json.length() - 1;
        if (written + json.getBytes(StandardCharsets.UTF_8).length > cutAfter) {
            write(json, () -> {});
            return;
        }
        // The request ends before its last byte leaves: whoever has read that byte may send the next request.
        write(json.substring(0, last), () -> {
            ended.accept(run, !run.cancelled());
            write(json.substring(last), run.call()::end);
        });
    }

    private void write(String text, Runnable then) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (written + bytes.length > cutAfter) {
            byte[] part = Arrays.copyOf(bytes, (int) (cutAfter - written));
            run.call().write(part, () -> {
                ended.accept(run, false);
                run.call().drop();
            });
            return;
        }
        written += bytes.length;
        run.call().write(bytes, then);
    }

    private String event(int index) {
        Map<String, Object> document = head();
        String token = EngineRun.token(prompt(), index);
        document.put(
                "choices",
                List.of(
                        run.chat()
                                ? Map.of("index", 0, "delta", Map.of("content", token))
                                : Map.of("index", 0, "text", token)));
        return data(document);
    }

    private String usageEvent() {
        Map<String, Object> document = head();
        document.put("choices", List.of());
        document.put("usage", usage());
        return data(document);
    }

    private static String data(Object document) {
        return "data: " + Json.writeString(document) + "\n\n";
    }

    private Map<String, Object> head() {
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("id", wrongId ? OTHER_ID : run.requestId());
        document.put("object", run.chat() ? "chat.completion" : "text_completion");
        document.put("model", run.artifact().toString());
        return document;
    }

    private Map<String, Integer> usage() {
        int output = run.stream() ? next : run.tokens();
        return Map.of(
                "prompt_tokens",
                run.promptTokens(),
                "completion_tokens",
                output,
                "total_tokens",
                run.promptTokens() + output);
    }

    private String prompt() {
        return wrongId ? OTHER_ID : run.prompt();
    }
}
