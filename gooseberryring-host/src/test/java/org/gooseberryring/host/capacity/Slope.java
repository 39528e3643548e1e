package org.gooseberryring.host.capacity;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

import com.sun.management.ThreadMXBean;

/** Measures CPU time and retained heap of work on this thread and fits a line to the values. */
final class Slope {
    private static final int GC_ROUNDS = 4;
    private static final long WARM_UP_NANOS = 1_000_000_000L;

    private final String name;
    private final String unit;
    private final List<double[]> points = new ArrayList<>();

    Slope(String name, String unit) {
        this.name = name;
        this.unit = unit;
    }

    void add(double size, double value) {
        points.add(new double[] {size, value});
    }

    /** Prints the data points and the least-squares line. */
    void print() {
        double n = points.size();
        double meanX = points.stream().mapToDouble(p -> p[0]).sum() / n;
        double meanY = points.stream().mapToDouble(p -> p[1]).sum() / n;
        double xy = points.stream()
                .mapToDouble(p -> (p[0] - meanX) * (p[1] - meanY))
                .sum();
        double xx = points.stream()
                .mapToDouble(p -> (p[0] - meanX) * (p[0] - meanX))
                .sum();
        double yy = points.stream()
                .mapToDouble(p -> (p[1] - meanY) * (p[1] - meanY))
                .sum();
        StringBuilder line = new StringBuilder(name).append(" [").append(unit).append("]");
        points.forEach(p -> line.append(String.format(" %.0f:%.4g", p[0], p[1])));
        line.append(String.format(
                " fit=%.4g+%.4g*n r2=%.3f", meanY - xy / xx * meanX, xy / xx, yy == 0 ? 1 : xy * xy / xx / yy));
        System.out.println(line);
    }

    /** Returns the CPU time of one run in milliseconds, measured after a warm-up of one second of CPU time. */
    static double cpuMillis(int runs, Runnable work) {
        long warmUpEnd = cpuNanos() + WARM_UP_NANOS;
        do {
            work.run();
        } while (cpuNanos() < warmUpEnd);
        return warmCpuMillis(runs, work);
    }

    /** Returns the CPU time of one run in milliseconds, without a warm-up. */
    static double warmCpuMillis(int runs, Runnable work) {
        long before = cpuNanos();
        for (int i = 0; i < runs; i++) {
            work.run();
        }
        return (cpuNanos() - before) / 1e6 / runs;
    }

    /** Returns the heap in megabytes that the built object retains. */
    static double heapMegabytes(Supplier<?> build) {
        long before = usedHeap();
        Object built = build.get();
        long after = usedHeap();
        if (built == null) {
            throw new IllegalStateException("nothing was built");
        }
        return (after - before) / 1e6;
    }

    /** Returns the megabytes that one run allocates. */
    static double allocatedMegabytes(Runnable work) {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        work.run();
        return (threads.getCurrentThreadAllocatedBytes() - before) / 1e6;
    }

    private static long usedHeap() {
        for (int i = 0; i < GC_ROUNDS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
