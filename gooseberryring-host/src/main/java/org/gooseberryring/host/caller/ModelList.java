package org.gooseberryring.host.caller;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.Adapter;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.Model;

/** Writes the list of models. */
final class ModelList {
    private ModelList() {}

    static void write(HttpServerExchange exchange, FleetConfiguration configuration) {
        List<Entry> entries = new ArrayList<>();
        for (Model model : configuration.models().values()) {
            entries.add(new Entry(model.id(), "model"));
            for (Adapter adapter : model.adapters()) {
                entries.add(new Entry(model.id() + ":" + adapter.id(), "model"));
            }
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(Json.write(new Page("list", entries))));
    }

    /** Entry of the list. */
    record Entry(String id, String object) {}

    /** Complete list. */
    record Page(String object, List<Entry> data) {}
}
