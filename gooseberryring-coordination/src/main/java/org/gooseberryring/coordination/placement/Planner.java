package org.gooseberryring.coordination.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.SheetRow;

/**
 * Computes the placement of artifacts on endpoints.
 *
 * <p>The result depends only on the configuration, so that every host computes the same plan. Attempts with fewer moves
 * and with free memory for make-before-break come first. The first attempt that places every row is the plan. If none
 * does, the plan is the attempt with the fewest rows that do not fit.
 */
public final class Planner {
    private static final List<PlanAttempt.Options> ATTEMPTS = List.of(
            new PlanAttempt.Options(true, true, true, false),
            new PlanAttempt.Options(true, true, true, true),
            new PlanAttempt.Options(true, true, false, true),
            new PlanAttempt.Options(false, true, false, true),
            new PlanAttempt.Options(true, false, false, true),
            new PlanAttempt.Options(false, false, false, true));

    /**
     * Plans the sheet of a configuration based on its present placements.
     *
     * @param configuration configuration whose rows name known artifacts and whose adapter rows have a row for their
     *     model
     */
    public Plan plan(FleetConfiguration configuration) {
        ArtifactCatalog catalog = new ArtifactCatalog(configuration.models());
        PlanAttempt best = null;
        for (PlanAttempt.Options options : ATTEMPTS) {
            PlanAttempt attempt =
                    new PlanAttempt(options, nodes(configuration, catalog), units(configuration, catalog));
            attempt.run();
            if (best == null || attempt.faults().size() < best.faults().size()) {
                best = attempt;
            }
            if (best.faults().isEmpty()) {
                break;
            }
        }
        return result(configuration, catalog, best);
    }

    private static List<PlanNode> nodes(FleetConfiguration configuration, ArtifactCatalog catalog) {
        List<PlanNode> nodes = new ArrayList<>();
        for (Endpoint e : configuration.endpoints().values()) {
            if (ReplicaCount.isUsable(configuration, e)) {
                List<Artifact> present = configuration.placements().getOrDefault(e.id(), List.of());
                nodes.add(new PlanNode(
                        e, present.stream().filter(catalog::contains).toList(), catalog));
            }
        }
        return nodes;
    }

    private static List<PlanUnit> units(FleetConfiguration configuration, ArtifactCatalog catalog) {
        SortedMap<String, PlanUnit> units = new TreeMap<>();
        List<SheetRow> sheet = configuration.sheet();
        for (int i = 0; i < sheet.size(); i++) {
            Artifact a = sheet.get(i).artifact();
            units.computeIfAbsent(a.model(), PlanUnit::new).add(new PlanRow(i, sheet.get(i), catalog.bytes(a)));
        }
        units.values().forEach(PlanUnit::matchAdapters);
        return new ArrayList<>(units.values());
    }

    private static Plan result(FleetConfiguration configuration, ArtifactCatalog catalog, PlanAttempt attempt) {
        SortedMap<String, List<Artifact>> placements = placementsOutOfService(configuration, catalog);
        for (PlanNode node : attempt.nodes()) {
            if (!node.planned().isEmpty()) {
                placements.put(node.id(), List.copyOf(node.planned()));
            }
        }
        int loads = 0;
        int unloads = 0;
        Set<String> ids = new TreeSet<>(placements.keySet());
        ids.addAll(configuration.placements().keySet());
        for (String id : ids) {
            Set<Artifact> after = new HashSet<>(placements.getOrDefault(id, List.of()));
            Set<Artifact> before = new HashSet<>(configuration.placements().getOrDefault(id, List.of()));
            int common = (int) after.stream().filter(before::contains).count();
            loads += after.size() - common;
            unloads += before.size() - common;
        }
        return new Plan(placements, attempt.faults(), loads, unloads, attempt.reserveKept());
    }

    /**
     * Returns the placements in failure domains out of service, limited to artifacts of the sheet that fit. Unloading
     * them would only cost loads when the failure domain returns.
     */
    private static SortedMap<String, List<Artifact>> placementsOutOfService(
            FleetConfiguration configuration, ArtifactCatalog catalog) {
        Set<Artifact> inSheet = new HashSet<>();
        configuration.sheet().forEach(row -> inSheet.add(row.artifact()));
        SortedMap<String, List<Artifact>> kept = new TreeMap<>();
        for (Map.Entry<String, List<Artifact>> placed :
                configuration.placements().entrySet()) {
            Endpoint e = configuration.endpoints().get(placed.getKey());
            if (e == null || e.leaving() || e.kind() != EndpointKind.MODEL || ReplicaCount.isUsable(configuration, e)) {
                continue;
            }
            PlanNode node = new PlanNode(e, List.of(), catalog);
            for (Artifact a : new TreeSet<>(placed.getValue())) {
                if (inSheet.contains(a)
                        && node.fits(catalog.bytes(a))
                        && (a.adapter() == null || node.hasPlannedModel(a.model()))) {
                    node.plan(a, catalog.bytes(a));
                }
            }
            if (!node.planned().isEmpty()) {
                kept.put(e.id(), List.copyOf(node.planned()));
            }
        }
        return kept;
    }
}
