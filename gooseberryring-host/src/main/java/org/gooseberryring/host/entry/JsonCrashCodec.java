package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberryring.coordination.crash.CrashCodec;
import org.gooseberryring.coordination.crash.RequestPart;
import org.gooseberryring.coordination.crash.StoredCrash;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.EndpointProcess;

/** JSON form of crashes in the store. */
final class JsonCrashCodec implements CrashCodec {
    private static final String CRASHES = "crashes";
    private static final String ENDPOINT = "endpoint";
    private static final String BORN_MILLIS = "bornMs";
    private static final String AGE_MILLIS = "ageMs";
    private static final String SERVICE = "service";
    private static final String REQUESTS = "requests";

    @Override
    public byte[] encode(List<StoredCrash> crashes, long now) {
        ObjectNode document = Json.mapper().createObjectNode();
        ArrayNode list = document.putArray(CRASHES);
        for (StoredCrash crash : crashes) {
            ObjectNode each = list.addObject()
                    .put(ENDPOINT, crash.process().endpoint())
                    .put(BORN_MILLIS, crash.process().bornMillis())
                    .put(AGE_MILLIS, now - crash.at());
            ArrayNode requests = each.putArray(REQUESTS);
            for (RequestPart request : crash.requests()) {
                each.put(SERVICE, request.service());
                requests.add(Long.toHexString(request.id()));
            }
        }
        return Json.write(document);
    }

    @Override
    public List<StoredCrash> decode(byte[] content, long now) {
        List<StoredCrash> crashes = new ArrayList<>();
        for (JsonNode each : Json.readTree(content).path(CRASHES)) {
            if (each.path(ENDPOINT).isTextual() && each.path(SERVICE).isTextual()) {
                EndpointProcess process = new EndpointProcess(
                        each.path(ENDPOINT).textValue(), each.path(BORN_MILLIS).asLong());
                long age = Math.max(0, each.path(AGE_MILLIS).asLong());
                crashes.add(new StoredCrash(process, requests(each), now - age));
            }
        }
        return crashes;
    }

    private static Set<RequestPart> requests(JsonNode crash) {
        Set<RequestPart> requests = new HashSet<>();
        for (JsonNode each : crash.path(REQUESTS)) {
            String service = crash.path(SERVICE).textValue();
            PartNames.parse(each.asText())
                    .ifPresent(id -> requests.add(new RequestPart(service, RequestPart.Kind.WHOLE_REQUEST, id)));
        }
        return requests;
    }
}
