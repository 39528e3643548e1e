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
    private static final String BAD_MODEL_ID =
            "must be 1 to 128 letters, digits, dots, hyphens, underscores or slashes";
    private static final String BAD_ID = "must be 1 to 128 letters, digits, dots, hyphens or underscores";

    private ModelChanges() {}

    static void put(MutableConfiguration draft, Change.PutModel change) {
        Model m = change.model();
        String path = draft.path() + ".model";
        if (!draft.check(m != null, path, "is missing")
                || !draft.check(FormatValidator.isModelId(m.id()), path + ".id", BAD_MODEL_ID)
                || !draft.touch("model", m.id())) {
            return;
        }
        draft.check(m.bytes() > 0, path + ".bytes", "must be positive");
        checkVersions(draft, m, path);
        checkAdapters(draft, m, path);
        Model before = draft.models().put(m.id(), m);
        if (before != null) {
            followVersionInForce(draft, before, m);
        }
        draft.later(() -> checkUses(draft, m.id(), path));
    }

    static void remove(MutableConfiguration draft, Change.RemoveModel change) {
        String path = draft.path() + ".id";
        if (draft.check(
                        change.id() != null && draft.models().containsKey(change.id()),
                        path,
                        "model " + change.id() + " does not exist")
                && draft.touch("model", change.id())) {
            draft.models().remove(change.id());
            draft.later(() -> {
                for (SheetRow row : draft.sheet()) {
                    draft.check(!row.artifact().model().equals(change.id()), path, "the sheet names " + row.artifact());
                }
                draft.placements()
                        .forEach((endpoint, held) -> held.forEach(a -> draft.check(
                                !a.model().equals(change.id()) || draft.replan() != MutableConfiguration.Replan.NONE,
                                path,
                                "endpoint " + endpoint + " is to hold " + a)));
            });
        }
    }

    private static void checkVersions(MutableConfiguration draft, Model m, String path) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < m.versions().size(); i++) {
            String at = path + ".versions[" + i + "]";
            draft.check(FormatValidator.isId(m.versions().get(i)), at, BAD_ID);
            draft.check(
                    seen.add(m.versions().get(i)), at, "version " + m.versions().get(i) + " is named twice");
        }
        draft.check(
                m.inForce() != null && seen.contains(m.inForce()),
                path + ".inForce",
                "version " + m.inForce() + " is not in the list of versions");
    }

    private static void checkAdapters(MutableConfiguration draft, Model m, String path) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < m.adapters().size(); i++) {
            Adapter a = m.adapters().get(i);
            String at = path + ".adapters[" + i + "]";
            draft.check(FormatValidator.isId(a.id()), at + ".id", BAD_ID);
            draft.check(seen.add(a.id()), at + ".id", "adapter " + a.id() + " is named twice");
            draft.check(FormatValidator.isId(a.version()), at + ".version", BAD_ID);
            draft.check(a.bytes() > 0, at + ".bytes", "must be positive");
        }
    }

    /**
     * Moves the rows of the previous version in force to the new one, so that the version in force is always in the
     * sheet and no model becomes unreachable through a change of its version.
     */
    private static void followVersionInForce(MutableConfiguration draft, Model before, Model after) {
        List<SheetRow> rows = new ArrayList<>();
        Set<Artifact> present = new HashSet<>();
        boolean changed = before.bytes() != after.bytes() || !before.adapters().equals(after.adapters());
        for (SheetRow row : draft.sheet()) {
            SheetRow moved = row.artifact().model().equals(after.id()) ? moved(row, before, after) : row;
            changed |= !moved.equals(row);
            if (present.add(moved.artifact())) {
                rows.add(moved);
            }
        }
        boolean inSheet = rows.stream().anyMatch(r -> r.artifact().model().equals(after.id()));
        if (changed && inSheet) {
            draft.sheet(rows);
            draft.replan(MutableConfiguration.Replan.STRICT);
        }
    }

    private static SheetRow moved(SheetRow row, Model before, Model after) {
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

    private static void checkUses(MutableConfiguration draft, String model, String path) {
        ArtifactCatalog catalog = new ArtifactCatalog(draft.models());
        for (SheetRow row : draft.sheet()) {
            if (row.artifact().model().equals(model)) {
                draft.check(catalog.contains(row.artifact()), path, "the sheet names " + row.artifact());
            }
        }
        if (draft.replan() == MutableConfiguration.Replan.NONE) {
            for (Map.Entry<String, List<Artifact>> held : draft.placements().entrySet()) {
                for (Artifact a : held.getValue()) {
                    draft.check(
                            !a.model().equals(model) || catalog.contains(a),
                            path,
                            "endpoint " + held.getKey() + " is to hold " + a);
                }
            }
        }
    }
}
