package org.gooseberryring.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.gooseberryring.state.Artifact;

/** One attempt to place all rows with fixed options. */
final class PlanAttempt {
    private final Options options;
    private final List<PlanNode> nodes;
    private final Map<String, PlanNode> byId = new HashMap<>();
    private final Map<Artifact, List<PlanNode>> holders = new HashMap<>();
    private final List<PlanUnit> units;
    private final SortedMap<Integer, RowFault> faults = new TreeMap<>();
    private boolean reserveKept = true;

    /**
     * Options of an attempt.
     *
     * @param reserve whether new replicas keep memory free for the largest model on one endpoint in each failure domain
     * @param keepPresent whether existing replicas of the sheet are kept before any new one is placed
     * @param keepExtra whether existing replicas beyond the sheet are kept before any new one is placed
     * @param tight whether a new replica is placed on the endpoint with the least free memory instead of the most
     */
    record Options(boolean reserve, boolean keepPresent, boolean keepExtra, boolean tight) {}

    PlanAttempt(Options options, List<PlanNode> nodes, List<PlanUnit> units) {
        this.options = options;
        this.nodes = nodes;
        this.units = units;
        for (PlanNode node : nodes) {
            byId.put(node.id(), node);
            node.present()
                    .forEach(a ->
                            holders.computeIfAbsent(a, k -> new ArrayList<>()).add(node));
        }
    }

    void run() {
        units.forEach(this::placePins);
        if (options.keepPresent()) {
            keepAll(false);
        }
        if (options.keepExtra()) {
            keepAll(true);
        }
        if (options.reserve()) {
            reserve();
        }
        List<PlanUnit> largestFirst = new ArrayList<>(units);
        largestFirst.sort(Comparator.comparingLong(PlanUnit::bytes).reversed().thenComparing(PlanUnit::model));
        largestFirst.forEach(this::placeUnit);
        keepAll(true);
        units.forEach(this::spread);
    }

    private void keepAll(boolean extra) {
        units.forEach(unit ->
                unit.versions().forEach(row -> keep(row, any -> true, extra ? Integer.MAX_VALUE : row.replicas())));
        units.forEach(unit -> unit.adapters()
                .forEach(row -> keep(
                        row, node -> node.hasPlannedModel(unit.model()), extra ? Integer.MAX_VALUE : row.replicas())));
    }

    List<RowFault> faults() {
        return List.copyOf(faults.values());
    }

    List<PlanNode> nodes() {
        return nodes;
    }

    /** Reserves memory on the emptiest endpoint of each failure domain; replicas kept before have priority. */
    private void reserve() {
        Map<String, PlanNode> emptiest = new TreeMap<>();
        Map<String, Long> largest = new HashMap<>();
        for (PlanNode node : nodes) {
            emptiest.merge(node.domain(), node, (a, b) -> b.free() > a.free() ? b : a);
            largest.merge(node.domain(), node.memory(), Math::max);
        }
        emptiest.forEach((domain, node) -> {
            long bytes = 0;
            for (PlanUnit unit : units) {
                for (PlanRow row : unit.versions()) {
                    bytes = row.bytes() <= largest.get(domain) ? Math.max(bytes, row.bytes()) : bytes;
                }
            }
            reserveKept &= node.free() >= bytes;
            node.reserve(Math.min(bytes, node.free()));
        });
    }

    /** Returns whether every failure domain has free memory to load its largest model before it unloads another. */
    boolean reserveKept() {
        return options.reserve() && reserveKept;
    }

    private void placePins(PlanUnit unit) {
        unit.versions().forEach(this::placePins);
        unit.adapters().forEach(this::placePins);
    }

    private void placePins(PlanRow row) {
        for (String pin : row.pins()) {
            PlanNode node = byId.get(pin);
            if (node == null || node.hasPlanned(row.artifact())) {
                continue; // placeUnit replaces an endpoint out of service.
            }
            if (node.fits(row.bytes())) {
                row.place(node);
            } else {
                fault(row, "needs " + row.bytes() + " bytes on " + pin + ", which has " + node.free() + " free");
            }
        }
    }

    /** Keeps existing replicas up to a limit, first in the failure domains with the fewest replicas of the row. */
    private void keep(PlanRow row, Predicate<PlanNode> allowed, int upTo) {
        List<PlanNode> candidates = new ArrayList<>(holders.getOrDefault(row.artifact(), List.of()));
        while (row.nodes().size() < upTo) {
            PlanNode best = null;
            for (PlanNode node : candidates) {
                if (!node.hasPlanned(row.artifact())
                        && node.fits(row.bytes())
                        && allowed.test(node)
                        && (best == null
                                || row.replicasInDomain(node.domain()) < row.replicasInDomain(best.domain()))) {
                    best = node;
                }
            }
            if (best == null) {
                return;
            }
            row.place(best);
        }
    }

    private void placeUnit(PlanUnit unit) {
        for (PlanRow row : unit.versions()) {
            while (!row.isComplete()) {
                PlanNode node = choose(row, row.bytes() + unit.pendingAdapterBytes(), any -> true);
                if (node == null) {
                    node = choose(row, row.bytes(), any -> true);
                }
                if (node == null) {
                    fault(row, shortage(row, nodes));
                    break;
                }
                row.place(node);
                placeAdaptersWith(unit, node);
            }
        }
        for (PlanRow row : unit.adapters()) {
            while (!row.isComplete()) {
                PlanNode node = choose(row, row.bytes(), n -> n.hasPlannedModel(unit.model()));
                if (node == null) {
                    fault(
                            row,
                            shortage(
                                            row,
                                            nodes.stream()
                                                    .filter(n -> n.hasPlannedModel(unit.model()))
                                                    .toList()) + "; an adapter needs its model on the same endpoint");
                    break;
                }
                row.place(node);
            }
        }
    }

    private void placeAdaptersWith(PlanUnit unit, PlanNode node) {
        for (PlanRow row : unit.adapters()) {
            if (!row.isComplete() && !node.hasPlanned(row.artifact()) && node.fits(row.bytes())) {
                row.place(node);
            }
        }
    }

    /** Adds a replica in a second failure domain if memory allows it. */
    private void spread(PlanUnit unit) {
        for (PlanRow row : unit.versions()) {
            if (row.domainCount() == 1 && row.isComplete()) {
                PlanNode node = choose(row, row.bytes(), n -> row.replicasInDomain(n.domain()) == 0);
                if (node != null) {
                    row.place(node);
                }
            }
        }
    }

    private PlanNode choose(PlanRow row, long bytes, Predicate<PlanNode> allowed) {
        List<PlanNode> present = holders.getOrDefault(row.artifact(), List.of());
        PlanNode best = null;
        int bestInDomain = 0;
        for (PlanNode node : nodes) {
            // The cheap checks come first: this loop runs for each replica over every endpoint.
            if (!node.fits(bytes)) {
                continue;
            }
            int inDomain = row.replicasInDomain(node.domain());
            if ((best == null
                            || inDomain <= bestInDomain
                                    && (inDomain < bestInDomain || isBetter(row, node, best, present)))
                    && !row.nodes().contains(node)
                    && allowed.test(node)) {
                best = node;
                bestInDomain = inDomain;
            }
        }
        return best;
    }

    /** Compares two endpoints in failure domains with the same number of replicas of the row. */
    private boolean isBetter(PlanRow row, PlanNode node, PlanNode best, List<PlanNode> present) {
        if (!present.isEmpty() && present.contains(node) != present.contains(best)) {
            return present.contains(node);
        }
        // If the replica fits before any unload, its load never has to wait for another replica.
        boolean fits = node.fitsBeforeUnloads(row.bytes());
        if (fits != best.fitsBeforeUnloads(row.bytes())) {
            return fits;
        }
        return options.tight() ? node.free() < best.free() : node.free() > best.free();
    }

    private String shortage(PlanRow row, List<PlanNode> candidates) {
        long most = 0;
        for (PlanNode node : candidates) {
            most = node.hasPlanned(row.artifact()) ? most : Math.max(most, node.free());
        }
        return "placed " + row.nodes().size() + " of " + row.replicas() + " replicas; the next needs " + row.bytes()
                + " bytes, but the largest free memory in bytes of another endpoint is " + most;
    }

    private void fault(PlanRow row, String reason) {
        faults.putIfAbsent(row.index(), new RowFault(row.index(), row.artifact(), row.artifact() + " " + reason));
    }
}
