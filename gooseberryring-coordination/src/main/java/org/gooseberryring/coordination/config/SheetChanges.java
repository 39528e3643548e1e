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

/** Applies changes of the sheet and of the placements of single endpoints. */
final class SheetChanges {
    private SheetChanges() {}

    static void replaceSheet(MutableConfiguration draft, Change.ReplaceSheet change) {
        if (!draft.touch("sheet", "")) {
            return;
        }
        String path = draft.path() + ".rows";
        draft.sheetPath(path);
        draft.sheet(change.rows());
        draft.replan(MutableConfiguration.Replan.STRICT);
        draft.later(() -> checkRows(draft, change.rows(), path));
    }

    static void putPlacements(MutableConfiguration draft, Change.PutPlacements change) {
        String path = draft.path();
        if (!draft.touch("placements", change.endpoint())) {
            return;
        }
        List<Artifact> artifacts = new ArrayList<>(new TreeSet<>(change.artifacts()));
        draft.check(artifacts.size() == change.artifacts().size(), path + ".artifacts", "names an artifact twice");
        if (artifacts.isEmpty()) {
            draft.placements().remove(change.endpoint());
        } else {
            draft.placements().put(change.endpoint(), artifacts);
        }
        draft.later(() -> checkPlacements(draft, change.endpoint(), artifacts, path));
    }

    private static void checkRows(MutableConfiguration draft, List<SheetRow> rows, String path) {
        ArtifactCatalog catalog = new ArtifactCatalog(draft.models());
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
            draft.check(row.replicas() >= 1, at + ".replicas", "must be at least 1");
            checkPins(draft, row, at);
            if (!draft.check(
                            a != null && a.model() != null && a.version() != null,
                            at + ".artifact",
                            "needs a model and a version")
                    || !draft.check(catalog.contains(a), at + ".artifact", reasonUnknown(draft, a))) {
                continue;
            }
            draft.check(seen.add(a), at + ".artifact", a + " is named by two rows");
            draft.check(
                    a.adapter() == null || models.contains(a.model()),
                    at + ".artifact",
                    "adapter needs a row for its model " + a.model());
        }
    }

    private static String reasonUnknown(MutableConfiguration draft, Artifact a) {
        return draft.models().containsKey(a.model())
                ? "model " + a.model() + " has no " + (a.adapter() == null ? "" : "adapter " + a.adapter() + " with ")
                        + "version " + a.version()
                : "model " + a.model() + " does not exist";
    }

    private static void checkPins(MutableConfiguration draft, SheetRow row, String at) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < row.endpoints().size(); i++) {
            String id = row.endpoints().get(i);
            String pin = at + ".endpoints[" + i + "]";
            draft.check(seen.add(id), pin, "endpoint " + id + " is named twice");
            Endpoint e = draft.endpoints().get(id);
            if (draft.check(e != null, pin, "endpoint " + id + " does not exist")) {
                draft.check(e.kind() == EndpointKind.MODEL, pin, "endpoint " + id + " is not a model engine");
            }
        }
    }

    private static void checkPlacements(
            MutableConfiguration draft, String endpoint, List<Artifact> artifacts, String path) {
        Endpoint e = endpoint == null ? null : draft.endpoints().get(endpoint);
        if (!draft.check(e != null, path + ".endpoint", "endpoint " + endpoint + " does not exist")
                || !draft.check(
                        e.kind() == EndpointKind.MODEL,
                        path + ".endpoint",
                        "endpoint " + endpoint + " is not a model engine")) {
            return;
        }
        ArtifactCatalog catalog = new ArtifactCatalog(draft.models());
        long bytes = 0;
        for (Artifact a : artifacts) {
            if (!draft.check(catalog.contains(a), path + ".artifacts", "artifact " + a + " does not exist")) {
                return;
            }
            bytes += catalog.bytes(a);
            boolean hasModel = a.adapter() == null
                    || artifacts.stream()
                            .anyMatch(o -> o.adapter() == null && o.model().equals(a.model()));
            draft.check(hasModel, path + ".artifacts", "adapter " + a + " needs its model on the same endpoint");
        }
        draft.check(bytes <= e.memoryBytes(), path + ".artifacts", "needs " + bytes + " bytes of " + e.memoryBytes());
    }
}
