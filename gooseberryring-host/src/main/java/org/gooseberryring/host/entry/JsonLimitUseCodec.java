package org.gooseberryring.host.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberryring.coordination.limit.LimitUseCodec;
import org.gooseberryring.protocol.Json;

/** JSON form of the excess of organisations in the store. */
final class JsonLimitUseCodec implements LimitUseCodec {
    private static final String EXCESSES = "excesses";
    private static final String ORGANISATION = "organisation";
    private static final String TOKENS = "tokens";

    @Override
    public byte[] encode(Map<String, Long> tokens) {
        ObjectNode document = Json.mapper().createObjectNode();
        ArrayNode list = document.putArray(EXCESSES);
        new TreeMap<>(tokens)
                .forEach((organisation, each) ->
                        list.addObject().put(ORGANISATION, organisation).put(TOKENS, each));
        return Json.write(document);
    }

    @Override
    public Map<String, Long> decode(byte[] content) {
        Map<String, Long> tokens = new HashMap<>();
        for (JsonNode each : Json.readTree(content).path(EXCESSES)) {
            long excess = each.path(TOKENS).asLong();
            if (each.path(ORGANISATION).isTextual() && excess > 0) {
                tokens.put(each.path(ORGANISATION).textValue(), excess);
            }
        }
        return tokens;
    }
}
