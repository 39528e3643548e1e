package org.gooseberryring.host.caller;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.Adapter;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.GooseberryringException;
import org.gooseberryring.state.Model;
import org.gooseberryring.transport.endpoint.EndpointCall;

/** Parses requests to models. */
final class ModelRequests {
    // Output limit of a request that sets none. The token limits reserve it, so the engine must enforce it.
    private static final int DEFAULT_OUTPUT_TOKENS = 256;
    private static final int MAX_OUTPUT_TOKENS = 1_000_000;
    // English text averages about four bytes per token; the engine's own count corrects the difference.
    private static final int BYTES_PER_TOKEN = 4;
    private static final int PREFIX_CHARS = 1024;
    private static final String MODEL = "model";
    private static final String MAX_TOKENS = "max_tokens";
    private static final String STREAM = "stream";
    private static final Pattern NAME = Pattern.compile("([^:@]+)(?::([^:@]+))?(?:@([^:@]+))?");

    private ModelRequests() {}

    /** Parses the body of a completion request and resolves the model to a versioned artifact. */
    static Destination read(String path, byte[] bytes, FleetConfiguration configuration) {
        ObjectNode body = parse(bytes);
        JsonNode name = body.get(MODEL);
        if (name == null || !name.isTextual()) {
            throw refused(ErrorCode.INVALID_REQUEST, "Field model is missing or not a string");
        }
        Artifact artifact = resolve(name.textValue(), configuration);
        int output = outputTokens(body);
        body.put(MODEL, artifact.toString());
        body.put(MAX_TOKENS, output);
        String prompt = prompt(body);
        long cost = Math.max(1, prompt.getBytes(StandardCharsets.UTF_8).length / BYTES_PER_TOKEN) + (long) output;
        return new Destination(
                new RequestTarget.ModelTarget(artifact),
                EndpointCall.Kind.MODEL_ENGINE,
                path,
                Json.write(body),
                configuration.models().get(artifact.model()).idempotent(),
                cost,
                prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length())),
                asksForEvents(body));
    }

    /** Returns whether the body of a completion request asks for a stream of events. */
    static boolean asksForEvents(JsonNode body) {
        JsonNode stream = body.path(STREAM);
        return stream.isBoolean() && stream.booleanValue();
    }

    private static ObjectNode parse(byte[] bytes) {
        try {
            if (Json.readTree(bytes) instanceof ObjectNode object) {
                return object;
            }
        } catch (GooseberryringException e) {
            throw refused(ErrorCode.INVALID_REQUEST, "The body is not valid JSON: " + e.getMessage());
        }
        throw refused(ErrorCode.INVALID_REQUEST, "The body must be a JSON object");
    }

    private static Artifact resolve(String name, FleetConfiguration configuration) {
        Matcher matcher = NAME.matcher(name);
        Model model = matcher.matches() ? configuration.models().get(matcher.group(1)) : null;
        if (model == null) {
            throw refused(ErrorCode.NOT_FOUND, "The model does not exist");
        }
        String version = matcher.group(3);
        if (matcher.group(2) == null) {
            if (version != null && !model.versions().contains(version)) {
                throw refused(ErrorCode.NOT_FOUND, "The model does not exist in this version");
            }
            return new Artifact(model.id(), null, version == null ? model.inForce() : version);
        }
        Adapter adapter = model.adapters().stream()
                .filter(a -> a.id().equals(matcher.group(2)))
                .findFirst()
                .orElseThrow(() -> refused(ErrorCode.NOT_FOUND, "The adapter does not exist"));
        if (version != null && !version.equals(adapter.version())) {
            throw refused(ErrorCode.NOT_FOUND, "The adapter does not exist in this version");
        }
        return new Artifact(model.id(), adapter.id(), adapter.version());
    }

    private static int outputTokens(ObjectNode body) {
        JsonNode value = body.has(MAX_TOKENS) ? body.get(MAX_TOKENS) : body.get("max_completion_tokens");
        if (value == null) {
            return DEFAULT_OUTPUT_TOKENS;
        }
        if (!value.isIntegralNumber()
                || !value.canConvertToInt()
                || value.intValue() < 1
                || value.intValue() > MAX_OUTPUT_TOKENS) {
            throw refused(ErrorCode.INVALID_REQUEST, "Field max_tokens must be from 1 to " + MAX_OUTPUT_TOKENS);
        }
        return value.intValue();
    }

    private static String prompt(ObjectNode body) {
        if (!body.has("messages")) {
            JsonNode prompt = body.get("prompt");
            return prompt == null ? "" : prompt.isTextual() ? prompt.textValue() : prompt.toString();
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode message : body.get("messages")) {
            JsonNode content = message.path("content");
            text.append(content.isTextual() ? content.textValue() : content.toString())
                    .append('\n');
        }
        return text.toString();
    }

    private static RefusedException refused(ErrorCode code, String detail) {
        return new RefusedException(Refusal.of(code, detail));
    }
}
