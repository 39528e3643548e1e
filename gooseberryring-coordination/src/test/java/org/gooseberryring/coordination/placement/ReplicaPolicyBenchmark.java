package org.gooseberryring.coordination.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.FleetConfiguration;

/** Compares the attainment per accelerator and the moves of three placement strategies on seeded demand traces. */
public final class ReplicaPolicyBenchmark {
    private static final int ENDPOINTS = 12;
    private static final int MODELS = 40;
    private static final int SEEDS = 10;
    private static final int CHUNKS = 20;
    private static final long MINUTE = 60_000;

    private ReplicaPolicyBenchmark() {}

    /** Strategy for placing replicas. */
    private interface Strategy {
        FleetConfiguration next(FleetConfiguration present, int minute);
    }

    private record Outcome(double attainment, double worstHour, double perAccelerator, double loadsPerHour) {}

    /** Prints the table; the optional argument is the mean demand as a share of the concurrency. */
    public static void main(String[] args) {
        double share = args.length > 0 ? Double.parseDouble(args[0]) : 0.45;
        System.out.println(
                "| placement | attainment | worst hour | served requests per accelerator | loads per hour |");
        System.out.println("| --- | --- | --- | --- | --- |");
        for (String name : List.of("static from the sheet", "greedy every minute", "replica policy")) {
            double[] sum = new double[4];
            for (int seed = 1; seed <= SEEDS; seed++) {
                DemandTrace trace = new DemandTrace(seed, ENDPOINTS, MODELS, share);
                Outcome o = run(trace, strategy(name, trace));
                sum[0] += o.attainment() / SEEDS;
                sum[1] += o.worstHour() / SEEDS;
                sum[2] += o.perAccelerator() / SEEDS;
                sum[3] += o.loadsPerHour() / SEEDS;
            }
            System.out.printf(
                    "| %s | %.2f%% | %.2f%% | %.3f | %.1f |%n", name, 100 * sum[0], 100 * sum[1], sum[2], sum[3]);
        }
    }

    private static Strategy strategy(String name, DemandTrace trace) {
        FleetConfiguration sheet = trace.fleet();
        if (name.startsWith("static")) {
            return (present, minute) -> present;
        }
        if (name.startsWith("greedy")) {
            return (present, minute) -> greedy(sheet, trace, minute);
        }
        DemandTracker tracker = new DemandTracker();
        ReplicaPolicy policy = new ReplicaPolicy(ReplicaPolicySettings.defaults());
        return (present, minute) -> {
            present.models().keySet().forEach(m -> tracker.observe(m, trace.demand(minute, m), minute * MINUTE));
            TreeMap<String, List<Artifact>> placements = new TreeMap<>(present.placements());
            for (Change change : policy.decide(present, tracker, minute * MINUTE)) {
                Change.PutPlacements put = (Change.PutPlacements) change;
                placements.put(put.endpoint(), put.artifacts());
            }
            return DemandTrace.withPlacements(present, placements);
        };
    }

    /** Starts from the sheet and adds the best replica for the demand of this minute until none reduces overload. */
    private static FleetConfiguration greedy(FleetConfiguration sheet, DemandTrace trace, int minute) {
        FleetLoad load = new FleetLoad(sheet, m -> trace.demand(minute, m), 0.8);
        boolean better = true;
        while (better) {
            better = false;
            double best = 1e-6;
            String model = null;
            String target = null;
            for (String m : load.models()) {
                for (String e : load.endpoints()) {
                    if (!load.holders(m).contains(e)
                            && load.free(e) >= load.bytes(load.unit(m))
                            && load.relief(m, e) > best) {
                        best = load.relief(m, e);
                        model = m;
                        target = e;
                    }
                }
            }
            if (model != null) {
                load.add(model, target, load.unit(model));
                better = true;
            }
        }
        TreeMap<String, List<Artifact>> placements = new TreeMap<>();
        load.endpoints().forEach(e -> placements.put(e, List.copyOf(load.placed(e))));
        return DemandTrace.withPlacements(sheet, placements);
    }

    /** Runs a strategy; a replica serves requests from the minute after its placement. */
    private static Outcome run(DemandTrace trace, Strategy strategy) {
        FleetConfiguration present = trace.fleet();
        double demand = 0;
        double served = 0;
        int loads = 0;
        double worst = 1;
        double hourDemand = 0;
        double hourServed = 0;
        for (int minute = 0; minute < DemandTrace.MINUTES; minute++) {
            FleetConfiguration next = strategy.next(present, minute);
            loads += loads(present, next);
            double[] result = serve(trace, common(present, next), minute);
            demand += result[0];
            served += result[1];
            hourDemand += result[0];
            hourServed += result[1];
            if (minute % 60 == 59) {
                worst = Math.min(worst, hourServed / hourDemand);
                hourDemand = 0;
                hourServed = 0;
            }
            present = next;
        }
        double hours = DemandTrace.MINUTES / 60.0;
        return new Outcome(served / demand, worst, served / DemandTrace.MINUTES / ENDPOINTS, loads / hours);
    }

    private static SortedMap<String, List<Artifact>> common(FleetConfiguration present, FleetConfiguration next) {
        SortedMap<String, List<Artifact>> result = new TreeMap<>();
        present.placements().forEach((e, artifacts) -> {
            List<Artifact> kept = new ArrayList<>(artifacts);
            kept.retainAll(next.placements().getOrDefault(e, List.of()));
            result.put(e, kept);
        });
        return result;
    }

    private static int loads(FleetConfiguration before, FleetConfiguration after) {
        int loads = 0;
        for (Map.Entry<String, List<Artifact>> placed : after.placements().entrySet()) {
            Set<Artifact> old = new HashSet<>(before.placements().getOrDefault(placed.getKey(), List.of()));
            loads += (int)
                    placed.getValue().stream().filter(a -> !old.contains(a)).count();
        }
        return loads;
    }

    /** Spreads the demand in small parts over the least loaded replicas; demand above the concurrency is not served. */
    private static double[] serve(DemandTrace trace, SortedMap<String, List<Artifact>> placed, int minute) {
        Map<String, List<String>> holders = new TreeMap<>();
        placed.forEach((e, artifacts) -> artifacts.forEach(
                a -> holders.computeIfAbsent(a.model(), k -> new ArrayList<>()).add(e)));
        Map<String, Double> load = new HashMap<>();
        double demand = 0;
        for (int chunk = 0; chunk < CHUNKS; chunk++) {
            for (Map.Entry<String, List<String>> model : holders.entrySet()) {
                double part = trace.demand(minute, model.getKey()) / CHUNKS;
                demand += part;
                String least = model.getValue().get(0);
                for (String e : model.getValue()) {
                    least = load.getOrDefault(e, 0.0) < load.getOrDefault(least, 0.0) ? e : least;
                }
                load.merge(least, part, Double::sum);
            }
        }
        double served = 0;
        for (double l : load.values()) {
            served += Math.min(l, DemandTrace.CONCURRENCY);
        }
        return new double[] {demand, served};
    }
}
