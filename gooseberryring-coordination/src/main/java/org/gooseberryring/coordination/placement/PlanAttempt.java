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

    /**
     * Options of an attempt.
     *
     * @param reserve whether one endpoint in each failure domain keeps room for the largest unit
     * @param keepPresent whether present replicas are kept before any new one is placed
     * @param tight whether a new replica goes to the endpoint with the least free memory instead of the most
     */
    record Options(boolean reserve, boolean keepPresent, boolean tight) {}

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
        if (options.reserve()) {
            reserve();
        }
        units.forEach(this::placePins);
        if (options.keepPresent()) {
            units.forEach(unit -> unit.versions().forEach(row -> keep(row, any -> true, row.replicas())));
            units.forEach(unit ->
                    unit.adapters().forEach(row -> keep(row, node -> node.holdsModel(unit.model()), row.replicas())));
        }
        List<PlanUnit> largestFirst = new ArrayList<>(units);
        largestFirst.sort(Comparator.comparingLong(PlanUnit::bytes).reversed().thenComparing(PlanUnit::model));
        largestFirst.forEach(this::placeUnit);
        units.forEach(unit -> unit.versions().forEach(row -> keep(row, any -> true, Integer.MAX_VALUE)));
        units.forEach(unit ->
                unit.adapters().forEach(row -> keep(row, node -> node.holdsModel(unit.model()), Integer.MAX_VALUE)));
        units.forEach(this::spread);
    }

    List<RowFault> faults() {
        return List.copyOf(faults.values());
    }

    List<PlanNode> nodes() {
        return nodes;
    }

    private void reserve() {
        Map<String, PlanNode> emptiest = new TreeMap<>();
        Map<String, Long> largest = new HashMap<>();
        for (PlanNode node : nodes) {
            emptiest.merge(node.domain(), node, PlanAttempt::emptier);
            largest.merge(node.domain(), node.free(), Math::max);
        }
        emptiest.forEach((domain, node) -> {
            long bytes = 0;
            for (PlanUnit unit : units) {
                for (PlanRow row : unit.versions()) {
                    bytes = row.bytes() <= largest.get(domain) ? Math.max(bytes, row.bytes()) : bytes;
                }
            }
            node.reserve(Math.min(bytes, node.free()));
        });
    }

    /** Prefers the endpoint that would lose the fewest present artifacts to the reserve. */
    private static PlanNode emptier(PlanNode a, PlanNode b) {
        return b.present().size() < a.present().size() ? b : a;
    }

    private void placePins(PlanUnit unit) {
        unit.versions().forEach(this::placePins);
        unit.adapters().forEach(this::placePins);
    }

    private void placePins(PlanRow row) {
        for (String pin : row.pins()) {
            PlanNode node = byId.get(pin);
            if (node == null || node.holds(row.artifact())) {
                continue; // An endpoint out of service is replaced by another one below.
            }
            if (node.fits(row.bytes())) {
                row.place(node);
            } else {
                fault(row, "needs " + row.bytes() + " bytes on " + pin + ", which has " + node.free() + " left");
            }
        }
    }

    /** Keeps present replicas up to a number, first in the failure domains that have the fewest. */
    private void keep(PlanRow row, Predicate<PlanNode> allowed, int upTo) {
        List<PlanNode> candidates = new ArrayList<>(holders.getOrDefault(row.artifact(), List.of()));
        while (row.nodes().size() < upTo) {
            PlanNode best = null;
            for (PlanNode node : candidates) {
                if (!node.holds(row.artifact())
                        && node.fits(row.bytes())
                        && allowed.test(node)
                        && (best == null || row.inDomain(node.domain()) < row.inDomain(best.domain()))) {
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
            while (!row.complete()) {
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
            while (!row.complete()) {
                PlanNode node = choose(row, row.bytes(), n -> n.holdsModel(unit.model()));
                if (node == null) {
                    fault(
                            row,
                            shortage(
                                            row,
                                            nodes.stream()
                                                    .filter(n -> n.holdsModel(unit.model()))
                                                    .toList()) + "; an adapter needs its model on the same endpoint");
                    break;
                }
                row.place(node);
            }
        }
    }

    private void placeAdaptersWith(PlanUnit unit, PlanNode node) {
        for (PlanRow row : unit.adapters()) {
            if (!row.complete() && !node.holds(row.artifact()) && node.fits(row.bytes())) {
                row.place(node);
            }
        }
    }

    /** Adds a replica in a second failure domain where memory allows. */
    private void spread(PlanUnit unit) {
        for (PlanRow row : unit.versions()) {
            if (row.domains() == 1 && row.complete()) {
                PlanNode node = choose(row, row.bytes(), n -> row.inDomain(n.domain()) == 0);
                if (node != null) {
                    row.place(node);
                }
            }
        }
    }

    private PlanNode choose(PlanRow row, long bytes, Predicate<PlanNode> allowed) {
        PlanNode best = null;
        for (PlanNode node : nodes) {
            if (node.fits(bytes)
                    && !node.holds(row.artifact())
                    && allowed.test(node)
                    && (best == null || better(row, node, best))) {
                best = node;
            }
        }
        return best;
    }

    private boolean better(PlanRow row, PlanNode node, PlanNode best) {
        int spread = Integer.compare(row.inDomain(node.domain()), row.inDomain(best.domain()));
        if (spread != 0) {
            return spread < 0;
        }
        if (node.wasPresent(row.artifact()) != best.wasPresent(row.artifact())) {
            return node.wasPresent(row.artifact());
        }
        return options.tight() ? node.free() < best.free() : node.free() > best.free();
    }

    private String shortage(PlanRow row, List<PlanNode> candidates) {
        long most = 0;
        for (PlanNode node : candidates) {
            most = node.holds(row.artifact()) ? most : Math.max(most, node.free());
        }
        return "places " + row.nodes().size() + " of " + row.replicas() + " replicas; the next needs " + row.bytes()
                + " bytes, the most left on another endpoint is " + most;
    }

    private void fault(PlanRow row, String reason) {
        faults.putIfAbsent(row.index(), new RowFault(row.index(), row.artifact(), row.artifact() + " " + reason));
    }
}
