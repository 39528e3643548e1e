package org.gooseberryring.coordination.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.gooseberryring.coordination.placement.ArtifactCatalog;
import org.gooseberryring.state.Adapter;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.Model;
import org.gooseberryring.state.SheetRow;

/** Applies changes of models and their adapters. */
final class ModelChanges {
    private static final String INVALID_MODEL_ID_MESSAGE =
            "must be 1 to 128 letters, digits, dots, hyphens, underscores or slashes";
    private static final String INVALID_ID_MESSAGE = "must be 1 to 128 letters, digits, dots, hyphens or underscores";

    private ModelChanges() {}

    static void put(MutableConfiguration configuration, Change.PutModel change) {
        Model m = change.model();
        String path = configuration.path() + ".model";
        if (!configuration.check(m != null, path, "is missing")
                || !configuration.check(FormatValidator.isModelId(m.id()), path + ".id", INVALID_MODEL_ID_MESSAGE)
                || !configuration.markChanged("model", m.id())) {
            return;
        }
        configuration.check(m.bytes() > 0, path + ".bytes", "must be positive");
        checkVersions(configuration, m, path);
        checkAdapters(configuration, m, path);
        Model before = configuration.models().put(m.id(), m);
        if (before != null) {
            updateSheetRows(configuration, before, m);
        }
        configuration.addReferenceCheck(() -> checkUses(configuration, m.id(), path));
    }

    static void remove(MutableConfiguration configuration, Change.RemoveModel change) {
        String path = configuration.path() + ".id";
        if (configuration.check(
                        change.id() != null && configuration.models().containsKey(change.id()),
                        path,
                        "model " + change.id() + " does not exist")
                && configuration.markChanged("model", change.id())) {
            configuration.models().remove(change.id());
            configuration.addReferenceCheck(() -> {
                for (SheetRow row : configuration.sheet()) {
                    configuration.check(
                            !row.artifact().model().equals(change.id()), path, "the sheet contains " + row.artifact());
                }
                configuration
                        .placements()
                        .forEach((endpoint, placed) -> placed.forEach(a -> configuration.check(
                                !a.model().equals(change.id())
                                        || configuration.replan() != MutableConfiguration.Replan.NONE,
                                path,
                                "endpoint " + endpoint + " has a placement of " + a)));
            });
        }
    }

    private static void checkVersions(MutableConfiguration configuration, Model m, String path) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < m.versions().size(); i++) {
            String at = path + ".versions[" + i + "]";
            configuration.check(FormatValidator.isId(m.versions().get(i)), at, INVALID_ID_MESSAGE);
            configuration.check(
                    seen.add(m.versions().get(i)), at, "version " + m.versions().get(i) + " is listed twice");
        }
        configuration.check(
                m.inForce() != null && seen.contains(m.inForce()),
                path + ".inForce",
                "version " + m.inForce() + " is not in the list of versions");
    }

    private static void checkAdapters(MutableConfiguration configuration, Model m, String path) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < m.adapters().size(); i++) {
            Adapter a = m.adapters().get(i);
            String at = path + ".adapters[" + i + "]";
            configuration.check(FormatValidator.isId(a.id()), at + ".id", INVALID_ID_MESSAGE);
            configuration.check(seen.add(a.id()), at + ".id", "adapter " + a.id() + " is listed twice");
            configuration.check(FormatValidator.isId(a.version()), at + ".version", INVALID_ID_MESSAGE);
            configuration.check(a.bytes() > 0, at + ".bytes", "must be positive");
        }
    }

    /**
     * Updates the rows of the previous version in force to the new one. The version in force is therefore always in the
     * sheet, and a change of its version does not make a model unreachable.
     */
    private static void updateSheetRows(MutableConfiguration configuration, Model before, Model after) {
        List<SheetRow> rows = new ArrayList<>();
        Set<Artifact> present = new HashSet<>();
        boolean changed = before.bytes() != after.bytes() || !before.adapters().equals(after.adapters());
        for (SheetRow row : configuration.sheet()) {
            SheetRow updated = row.artifact().model().equals(after.id()) ? updateVersion(row, before, after) : row;
            changed |= !updated.equals(row);
            if (present.add(updated.artifact())) {
                rows.add(updated);
            }
        }
        boolean inSheet = rows.stream().anyMatch(r -> r.artifact().model().equals(after.id()));
        if (changed && inSheet) {
            configuration.sheet(rows);
            configuration.replan(MutableConfiguration.Replan.STRICT);
        }
    }

    private static SheetRow updateVersion(SheetRow row, Model before, Model after) {
        Artifact a = row.artifact();
        String version = a.version();
        if (a.adapter() == null) {
            version = Objects.equals(version, before.inForce()) ? after.inForce() : version;
        } else {
            for (Adapter adapter : after.adapters()) {
                version = adapter.id().equals(a.adapter()) ? adapter.version() : version;
            }
        }
        return new SheetRow(new Artifact(a.model(), a.adapter(), version), row.replicas(), row.endpoints());
    }

    private static void checkUses(MutableConfiguration configuration, String model, String path) {
        ArtifactCatalog catalog = new ArtifactCatalog(configuration.models());
        for (SheetRow row : configuration.sheet()) {
            if (row.artifact().model().equals(model)) {
                configuration.check(catalog.contains(row.artifact()), path, "the sheet contains " + row.artifact());
            }
        }
        if (configuration.replan() == MutableConfiguration.Replan.NONE) {
            for (Map.Entry<String, List<Artifact>> placed :
                    configuration.placements().entrySet()) {
                for (Artifact a : placed.getValue()) {
                    configuration.check(
                            !a.model().equals(model) || catalog.contains(a),
                            path,
                            "endpoint " + placed.getKey() + " has a placement of " + a);
                }
            }
        }
    }
}
