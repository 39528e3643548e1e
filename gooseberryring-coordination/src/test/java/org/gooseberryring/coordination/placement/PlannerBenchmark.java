package org.gooseberryring.coordination.placement;

import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.SortedMap;
import java.util.TreeMap;

import com.sun.management.ThreadMXBean;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.FleetConfiguration;

/** Measures the time and memory allocation of planning one failure domain at the target size. */
public final class PlannerBenchmark {
    private static final int RUNS = 30;

    private PlannerBenchmark() {}

    /** Prints the median and largest time and the allocation; arguments: number of endpoints and of models. */
    public static void main(String[] args) {
        int endpoints = args.length > 0 ? Integer.parseInt(args[0]) : 1_430;
        int models = args.length > 1 ? Integer.parseInt(args[1]) : 1_900;
        FleetConfiguration fleet = new DemandTrace(1, endpoints, models, 0.45).fleet();
        FleetConfiguration first = DemandTrace.withPlacements(fleet, new TreeMap<>());
        TreeMap<String, Endpoint> leaving = new TreeMap<>(fleet.endpoints());
        Endpoint e = leaving.get(leaving.firstKey());
        leaving.put(
                e.id(),
                new Endpoint(e.id(), e.kind(), e.failureDomain(), e.address(), e.memoryBytes(), 16, true, true));
        TreeMap<String, FailureDomain> out = new TreeMap<>(fleet.failureDomains());
        out.put("d0", new FailureDomain("d0", "r", false));
        System.out.println("| plan | median ms | largest ms | MB allocated | loads |");
        System.out.println("| --- | --- | --- | --- | --- |");
        measure("first placement", first);
        measure("nothing changes", fleet);
        measure("one endpoint leaves", with(fleet, fleet.failureDomains(), leaving));
        measure("one of three failure domains is out", with(fleet, out, fleet.endpoints()));
    }

    private static FleetConfiguration with(
            FleetConfiguration c, SortedMap<String, FailureDomain> domains, SortedMap<String, Endpoint> endpoints) {
        return new FleetConfiguration(
                c.revision(), null, null, c.models(), null, domains, endpoints, c.sheet(), c.placements());
    }

    private static void measure(String name, FleetConfiguration configuration) {
        Planner planner = new Planner();
        double[] millis = new double[RUNS];
        long allocated = 0;
        Plan plan = null;
        var threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        for (int i = -RUNS; i < RUNS; i++) {
            long before = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
            long start = System.nanoTime();
            plan = planner.plan(configuration);
            if (i >= 0) {
                millis[i] = (System.nanoTime() - start) / 1e6;
                allocated =
                        threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - before;
            }
        }
        Arrays.sort(millis);
        System.out.printf(
                "| %s | %.1f | %.1f | %.1f | %d%s |%n",
                name,
                millis[RUNS / 2],
                millis[RUNS - 1],
                allocated / 1e6,
                plan.loads(),
                plan.fits() ? "" : " (" + plan.faults().size() + " rows do not fit)");
    }
}
