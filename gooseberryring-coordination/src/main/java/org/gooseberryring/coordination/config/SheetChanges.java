package org.gooseberryring.coordination.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.gooseberryring.coordination.placement.ArtifactCatalog;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.SheetRow;

/** Applies changes of the sheet and of the placements of individual endpoints. */
final class SheetChanges {
    private SheetChanges() {}

    static void replaceSheet(MutableConfiguration configuration, Change.ReplaceSheet change) {
        if (!configuration.markChanged("sheet", "")) {
            return;
        }
        String path = configuration.path() + ".rows";
        configuration.sheetPath(path);
        configuration.sheet(change.rows());
        configuration.replan(MutableConfiguration.Replan.STRICT);
        configuration.addReferenceCheck(() -> checkRows(configuration, change.rows(), path));
    }

    static void putPlacements(MutableConfiguration configuration, Change.PutPlacements change) {
        String path = configuration.path();
        if (!configuration.markChanged("placements", change.endpoint())) {
            return;
        }
        List<Artifact> artifacts = new ArrayList<>(new TreeSet<>(change.artifacts()));
        configuration.check(
                artifacts.size() == change.artifacts().size(), path + ".artifacts", "lists an artifact twice");
        if (artifacts.isEmpty()) {
            configuration.placements().remove(change.endpoint());
        } else {
            configuration.placements().put(change.endpoint(), artifacts);
        }
        configuration.addReferenceCheck(() -> checkPlacements(configuration, change.endpoint(), artifacts, path));
    }

    private static void checkRows(MutableConfiguration configuration, List<SheetRow> rows, String path) {
        ArtifactCatalog catalog = new ArtifactCatalog(configuration.models());
        Set<Artifact> seen = new HashSet<>();
        Set<String> models = new HashSet<>();
        for (SheetRow row : rows) {
            if (row.artifact() != null && row.artifact().adapter() == null) {
                models.add(row.artifact().model());
            }
        }
        for (int i = 0; i < rows.size(); i++) {
            SheetRow row = rows.get(i);
            String at = path + "[" + i + "]";
            Artifact a = row.artifact();
            configuration.check(row.replicas() >= 1, at + ".replicas", "must be at least 1");
            checkPins(configuration, row, at);
            if (!configuration.check(
                            a != null && a.model() != null && a.version() != null,
                            at + ".artifact",
                            "must have a model and a version")
                    || !configuration.check(catalog.contains(a), at + ".artifact", describeUnknown(configuration, a))) {
                continue;
            }
            configuration.check(seen.add(a), at + ".artifact", a + " is in two rows");
            configuration.check(
                    a.adapter() == null || models.contains(a.model()),
                    at + ".artifact",
                    "adapter requires a row for its model " + a.model());
        }
    }

    private static String describeUnknown(MutableConfiguration configuration, Artifact a) {
        return configuration.models().containsKey(a.model())
                ? "model " + a.model() + " has no " + (a.adapter() == null ? "" : "adapter " + a.adapter() + " with ")
                        + "version " + a.version()
                : "model " + a.model() + " does not exist";
    }

    private static void checkPins(MutableConfiguration configuration, SheetRow row, String at) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < row.endpoints().size(); i++) {
            String id = row.endpoints().get(i);
            String pin = at + ".endpoints[" + i + "]";
            configuration.check(seen.add(id), pin, "endpoint " + id + " is listed twice");
            Endpoint e = configuration.endpoints().get(id);
            if (configuration.check(e != null, pin, "endpoint " + id + " does not exist")) {
                configuration.check(e.kind() == EndpointKind.MODEL, pin, "endpoint " + id + " is not a model engine");
            }
        }
    }

    private static void checkPlacements(
            MutableConfiguration configuration, String endpoint, List<Artifact> artifacts, String path) {
        Endpoint e = endpoint == null ? null : configuration.endpoints().get(endpoint);
        if (!configuration.check(e != null, path + ".endpoint", "endpoint " + endpoint + " does not exist")
                || !configuration.check(
                        e.kind() == EndpointKind.MODEL,
                        path + ".endpoint",
                        "endpoint " + endpoint + " is not a model engine")) {
            return;
        }
        ArtifactCatalog catalog = new ArtifactCatalog(configuration.models());
        long bytes = 0;
        for (Artifact a : artifacts) {
            if (!configuration.check(catalog.contains(a), path + ".artifacts", "artifact " + a + " does not exist")) {
                return;
            }
            bytes += catalog.bytes(a);
            boolean hasModel = a.adapter() == null
                    || artifacts.stream()
                            .anyMatch(o -> o.adapter() == null && o.model().equals(a.model()));
            configuration.check(
                    hasModel, path + ".artifacts", "adapter " + a + " requires its model on the same endpoint");
        }
        configuration.check(
                bytes <= e.memoryBytes(),
                path + ".artifacts",
                "requires " + bytes + " bytes, but the endpoint has " + e.memoryBytes());
    }
}
