package org.gooseberryring.host.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.gooseberryring.protocol.LoadReport;
import org.gooseberryring.state.Adapter;
import org.gooseberryring.state.ApiKey;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.Model;
import org.gooseberryring.state.Organisation;
import org.gooseberryring.state.SheetRow;

/** Builds configurations of any size with the proportions of the target fleet. */
final class TargetFleet {
    static final int CONCURRENCY = 128;
    private static final int MODELS_PER_ENDPOINT = 4;
    private static final long GIB = 1L << 30;

    private TargetFleet() {}

    /** Returns a fleet with one adapter per model, one key per organisation and 4 models per endpoint. */
    static FleetConfiguration of(int models, int endpoints, int domains, int organisations) {
        TreeMap<String, Model> byModel = new TreeMap<>();
        List<SheetRow> sheet = new ArrayList<>();
        for (int i = 0; i < models; i++) {
            Adapter adapter = new Adapter("adapter-0", GIB / 8, "1");
            String id = model(i).model();
            byModel.put(id, new Model(id, 16 * GIB, List.of("1"), "1", List.of(adapter), true));
            sheet.add(new SheetRow(model(i), 2, List.of()));
        }
        TreeMap<String, FailureDomain> byDomain = new TreeMap<>();
        for (int i = 0; i < domains; i++) {
            byDomain.put("d" + i, new FailureDomain("d" + i, "region-" + i % 3, true));
        }
        TreeMap<String, Endpoint> byEndpoint = new TreeMap<>();
        TreeMap<String, List<Artifact>> placements = new TreeMap<>();
        for (int i = 0; i < endpoints; i++) {
            String id = String.format("endpoint-%05d", i);
            String address = "10." + i / 65_536 + "." + i / 256 % 256 + "." + i % 256 + ":8000";
            byEndpoint.put(
                    id,
                    new Endpoint(
                            id, EndpointKind.MODEL, "d" + i % domains, address, 80 * GIB, CONCURRENCY, true, false));
            placements.put(id, placedModels(i, models));
        }
        TreeMap<String, Organisation> byOrganisation = new TreeMap<>();
        TreeMap<String, ApiKey> keys = new TreeMap<>();
        for (int i = 0; i < organisations; i++) {
            String id = "organisation-" + i;
            byOrganisation.put(id, new Organisation(id, 1_000_000, 10_000_000, 1, null));
            String digest = String.format("%064x", i);
            keys.put(digest, new ApiKey(digest, id, "key-" + i, false));
        }
        return new FleetConfiguration(1, byOrganisation, keys, byModel, null, byDomain, byEndpoint, sheet, placements);
    }

    /** Returns the next revision of the configuration, with one endpoint changed. */
    static FleetConfiguration next(FleetConfiguration c) {
        Map<String, Endpoint> endpoints = new HashMap<>(c.endpoints());
        Endpoint e = c.endpoints().get(c.endpoints().firstKey());
        endpoints.put(
                e.id(),
                new Endpoint(
                        e.id(),
                        e.kind(),
                        e.failureDomain(),
                        e.address(),
                        e.memoryBytes(),
                        CONCURRENCY + (int) (c.revision() % 2),
                        true,
                        false));
        return new FleetConfiguration(
                c.revision() + 1,
                c.organisations(),
                c.keys(),
                c.models(),
                c.services(),
                c.failureDomains(),
                new TreeMap<>(endpoints),
                c.sheet(),
                c.placements());
    }

    static LoadReport report(FleetConfiguration c, String endpoint, int running) {
        return new LoadReport(
                endpoint,
                1_790_000_000_000L,
                running,
                0,
                CONCURRENCY,
                c.placements().get(endpoint),
                64 * GIB,
                80 * GIB,
                "serving",
                250,
                7,
                List.of());
    }

    static Artifact model(int i) {
        return new Artifact(String.format("model-%04d", i), null, "1");
    }

    private static List<Artifact> placedModels(int endpoint, int models) {
        List<Artifact> placedModels = new ArrayList<>();
        for (int j = 0; j < MODELS_PER_ENDPOINT; j++) {
            placedModels.add(model((endpoint * MODELS_PER_ENDPOINT + j) % models));
        }
        return placedModels;
    }
}
