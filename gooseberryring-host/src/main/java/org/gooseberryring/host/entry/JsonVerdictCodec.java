package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberryring.coordination.crash.PartVerdict;
import org.gooseberryring.coordination.crash.VerdictCodec;
import org.gooseberryring.protocol.Json;

/** JSON form of verdicts on parts of requests in the store. */
final class JsonVerdictCodec implements VerdictCodec {
    private static final String VERDICTS = "verdicts";
    private static final String SERVICE = "service";
    private static final String PART = "part";
    private static final String GENERATION = "generation";
    private static final String ENDED = "ended";
    private static final String CONFIDENCE = "confidence";

    @Override
    public byte[] encode(List<PartVerdict> verdicts) {
        ObjectNode document = Json.mapper().createObjectNode();
        ArrayNode list = document.putArray(VERDICTS);
        for (PartVerdict verdict : verdicts) {
            list.addObject()
                    .put(SERVICE, PartScope.of(verdict.part()))
                    .put(PART, Long.toHexString(verdict.part().id()))
                    .put(GENERATION, verdict.generation())
                    .put(ENDED, verdict.ended())
                    .put(CONFIDENCE, verdict.confidence());
        }
        return Json.write(document);
    }

    @Override
    public List<PartVerdict> decode(byte[] content) {
        List<PartVerdict> verdicts = new ArrayList<>();
        for (JsonNode each : Json.readTree(content).path(VERDICTS)) {
            OptionalLong part = PartNames.parse(each.path(PART).asText());
            if (part.isPresent() && each.path(SERVICE).isTextual()) {
                verdicts.add(new PartVerdict(
                        PartScope.part(each.path(SERVICE).textValue(), part.getAsLong()),
                        Math.max(1, each.path(GENERATION).asInt()),
                        each.path(ENDED).asBoolean(),
                        Math.max(0, each.path(CONFIDENCE).asInt())));
            }
        }
        return verdicts;
    }
}
