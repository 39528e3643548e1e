package org.gooseberryring.host.entry;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gooseberryring.coordination.stream.StreamRecord;
import org.gooseberryring.coordination.stream.StreamTable;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.protocol.peer.BrokenStream;
import org.gooseberryring.protocol.peer.StateEntry;

/** Converts streams to peer messages and to objects of the store, and back. */
public final class StreamCodec {
    private static final int HEX_RADIX = 16;
    private static final String KEY = "[0-9a-f]{1,16}";
    private static final String SERVICES = "services";

    private StreamCodec() {}

    static StateEntry encode(StreamRecord stream) {
        return StateEntry.newBuilder()
                .setBrokenStream(BrokenStream.newBuilder()
                        .setService(stream.service())
                        .setKey(stream.key())
                        .setSoftwareVersion(stream.softwareVersion())
                        .setRemainingMillis(stream.remainingMillis()))
                .build();
    }

    static StreamRecord decode(BrokenStream stream) {
        return new StreamRecord(
                stream.getService(), stream.getKey(), stream.getSoftwareVersion(), stream.getRemainingMillis());
    }

    /** Encodes a table as the content of an object: lists of keys by service and software version. */
    static byte[] encode(StreamTable table) {
        ObjectNode document = Json.mapper().createObjectNode();
        ObjectNode services = document.putObject(SERVICES);
        table.services().forEach((service, versions) -> {
            ObjectNode byVersion = services.putObject(service);
            versions.forEach((version, keys) -> {
                ArrayNode list = byVersion.putArray(version);
                keys.forEach(key -> list.add(Long.toHexString(key)));
            });
        });
        return Json.write(document);
    }

    /** Decodes the content of an object; unreadable keys are left out. */
    public static StreamTable decode(JsonNode document) {
        SortedMap<String, SortedMap<String, Set<Long>>> table = new TreeMap<>();
        for (Map.Entry<String, JsonNode> service : document.path(SERVICES).properties()) {
            SortedMap<String, Set<Long>> byVersion = new TreeMap<>();
            for (Map.Entry<String, JsonNode> version : service.getValue().properties()) {
                byVersion.put(version.getKey(), keys(version.getValue()));
            }
            table.put(service.getKey(), byVersion);
        }
        return new StreamTable(table);
    }

    private static Set<Long> keys(JsonNode list) {
        Set<Long> keys = new HashSet<>();
        for (JsonNode each : list) {
            if (each.isTextual() && each.textValue().matches(KEY)) {
                keys.add(Long.parseUnsignedLong(each.textValue(), HEX_RADIX));
            }
        }
        return keys;
    }
}
