package org.gooseberryring.host.capacity;

import org.gooseberryring.coordination.placement.Planner;
import org.gooseberryring.state.FleetConfiguration;

/** Measures CPU time and result size of a plan of the complete fleet by models and endpoints. */
public final class PlannerSlopeBenchmark {
    private static final int[] ENDPOINTS = {1_250, 2_500, 5_000, 10_000};
    private static final int[] MODELS = {475, 950, 1_900};

    private PlannerSlopeBenchmark() {}

    /** Prints one line with data points and fitted line per slope. */
    public static void main(String[] args) {
        Slope cpu = new Slope("plan by endpoints, 1,900 models, 7 failure domains", "CPU ms");
        Slope heap = new Slope("plan result by endpoints", "MB");
        Slope allocated = new Slope("plan by endpoints", "MB allocated");
        for (int n : ENDPOINTS) {
            FleetConfiguration c = TargetFleet.of(1_900, n, 7, 1);
            cpu.add(n, Slope.cpuMillis(4, () -> new Planner().plan(c)));
            allocated.add(n, Slope.allocatedMegabytes(() -> new Planner().plan(c)));
            heap.add(n, Slope.heapMegabytes(() -> new Planner().plan(c)));
        }
        cpu.print();
        heap.print();
        allocated.print();
        Slope byModel = new Slope("plan by models, 10,000 endpoints", "CPU ms");
        for (int n : MODELS) {
            FleetConfiguration c = TargetFleet.of(n, 10_000, 7, 1);
            byModel.add(n, Slope.cpuMillis(4, () -> new Planner().plan(c)));
        }
        byModel.print();
    }
}
