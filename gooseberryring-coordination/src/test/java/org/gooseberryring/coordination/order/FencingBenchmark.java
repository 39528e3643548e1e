package org.gooseberryring.coordination.order;

import java.util.Random;
import java.util.stream.IntStream;

/**
 * Counts runs in which an endpoint exceeds its memory, by fencing check of the endpoints and by maximum order delay.
 *
 * <p>The controllers assume a maximum order delay of 20 s. Orders that arrive up to 17 s after sending stay within it.
 */
public final class FencingBenchmark {
    private static final int RUNS = 400;
    private static final int STEPS = 40;

    private FencingBenchmark() {}

    /** Prints the results as a Markdown table. */
    public static void main(String[] args) {
        System.out.println("| orders arrive within | fencing ignored | term compared | term and sequence compared |");
        System.out.println("| --- | --- | --- | --- |");
        for (int transit : new int[] {17_000, 60_000, 120_000}) {
            StringBuilder line = new StringBuilder("| " + transit / 1_000 + " s |");
            for (SimulatedEngine.Fencing fencing : SimulatedEngine.Fencing.values()) {
                long exceeded = IntStream.range(0, RUNS)
                        .parallel()
                        .filter(seed -> exceeds(seed, fencing, transit))
                        .count();
                line.append(" ").append(exceeded).append(" of ").append(RUNS).append(" |");
            }
            System.out.println(line);
        }
    }

    private static boolean exceeds(int seed, SimulatedEngine.Fencing fencing, int transit) {
        OrderSimulation simulation = new OrderSimulation(seed, true, fencing, transit);
        Random random = new Random(seed);
        for (int step = 0; step < STEPS; step++) {
            if (random.nextInt(3) == 0) {
                simulation.pauseController();
            }
            simulation.changeSheet();
            try {
                simulation.run(10_000);
            } catch (AssertionError e) {
                if (e.getMessage().contains("memory of")) {
                    return true;
                }
                return false;
            }
        }
        return false;
    }
}
