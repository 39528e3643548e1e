package org.gooseberryring.protocol;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.GooseberryringException;

/** Reads and writes JSON documents with one strict configuration. */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
            .addMixIn(Change.class, ChangeMixin.class)
            .serializationInclusion(JsonInclude.Include.NON_NULL)
            .build();

    private Json() {}

    /** Returns the mapper, for uses that the other methods do not support. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /** Serializes a value as UTF-8 JSON. */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("Cannot serialize " + value.getClass(), e);
        }
    }

    /** Serializes a value as a JSON string. */
    public static String writeString(Object value) {
        return new String(write(value), StandardCharsets.UTF_8);
    }

    /**
     * Parses a document.
     *
     * @throws GooseberryringException with {@link ErrorCode#INVALID_REQUEST} if it is malformed or has unknown fields
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (JsonProcessingException e) {
            throw new GooseberryringException(ErrorCode.INVALID_REQUEST, describe(e));
        } catch (IOException e) {
            throw new GooseberryringException(ErrorCode.INVALID_REQUEST, e.getMessage());
        }
    }

    /**
     * Parses a document into a tree.
     *
     * @throws GooseberryringException with {@link ErrorCode#INVALID_REQUEST} if it is malformed
     */
    public static JsonNode readTree(byte[] bytes) {
        return read(bytes, JsonNode.class);
    }

    private static String describe(JsonProcessingException e) {
        String location = e.getLocation() == null
                ? ""
                : " at line " + e.getLocation().getLineNr() + " column "
                        + e.getLocation().getColumnNr();
        return e.getOriginalMessage() + location;
    }
}
