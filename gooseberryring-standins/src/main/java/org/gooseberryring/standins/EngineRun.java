package org.gooseberryring.standins;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

import com.fasterxml.jackson.databind.JsonNode;
import org.gooseberryring.state.Artifact;

/** Completion request that is running or waiting at an engine stand-in. */
final class EngineRun {
    private static final int DEFAULT_TOKENS = 16;
    private static final int BYTES_PER_TOKEN = 4;

    private final Call call;
    private final String requestId;
    private final Artifact artifact;
    private final String prompt;
    private final int tokens;
    private final boolean stream;
    private final boolean chat;
    private volatile boolean cancelled;
    private volatile boolean ended;

    EngineRun(Call call, String requestId, JsonNode body, Artifact artifact) {
        this.call = call;
        this.requestId = requestId;
        this.artifact = artifact;
        this.prompt = readPrompt(body);
        this.tokens = Math.max(1, body.path("max_tokens").asInt(DEFAULT_TOKENS));
        this.stream = body.path("stream").asBoolean(false);
        this.chat = call.path().contains("/chat/");
    }

    /** Returns the text generated for a prompt. It depends on the prompt, so that tests detect a mixed-up response. */
    static String expectedText(String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(token(prompt, i));
        }
        return text.toString();
    }

    static String token(String prompt, int index) {
        return index == 0 ? digest(prompt) : " t" + index;
    }

    Call call() {
        return call;
    }

    String requestId() {
        return requestId;
    }

    Artifact artifact() {
        return artifact;
    }

    String prompt() {
        return prompt;
    }

    int promptTokens() {
        return Math.max(1, prompt.length() / BYTES_PER_TOKEN);
    }

    int tokens() {
        return tokens;
    }

    boolean isStreaming() {
        return stream;
    }

    boolean isChat() {
        return chat;
    }

    boolean isCancelled() {
        return cancelled;
    }

    void cancel() {
        cancelled = true;
    }

    /** Marks the run as ended and returns whether this call was the first to do so. */
    synchronized boolean markEnded() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    boolean isEnded() {
        return ended;
    }

    private static String readPrompt(JsonNode body) {
        if (!body.has("messages")) {
            return body.path("prompt").asText("");
        }
        StringBuilder text = new StringBuilder();
        body.path("messages")
                .forEach(message ->
                        text.append(message.path("content").asText("")).append('\n'));
        return text.toString();
    }

    private static String digest(String prompt) {
        CRC32 crc = new CRC32();
        crc.update(prompt.getBytes(StandardCharsets.UTF_8));
        return String.format("%08x", crc.getValue());
    }
}
