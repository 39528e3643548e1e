package org.gooseberryring.coordination.config;

/** Measures in simulated time how long a change takes to reach all hosts, and the rate of store calls of all hosts. */
public final class ConfigurationFeedBenchmark {
    private static final int DOMAINS = 7;
    private static final int CHANGES = 20;
    private static final int STEP_MILLIS = 10;
    private static final int SETTLE_MILLIS = 60_000;

    private ConfigurationFeedBenchmark() {}

    /** Prints one table row for each number of hosts. */
    public static void main(String[] args) {
        System.out.println("| hosts | mean ms to all hosts | maximum ms | store calls per second |");
        System.out.println("| --- | --- | --- | --- |");
        for (int hosts : new int[] {7, 70, 350, 1_400}) {
            ConfigurationSimulation simulation = new ConfigurationSimulation(1, hosts, DOMAINS, 0);
            simulation.run(2_000);
            simulation.submit();
            simulation.run(SETTLE_MILLIS);
            int before = simulation.store().calls();
            simulation.run(SETTLE_MILLIS);
            double calls = (simulation.store().calls() - before) * 1_000.0 / SETTLE_MILLIS;
            long sum = 0;
            long largest = 0;
            for (int i = 0; i < CHANGES; i++) {
                simulation.submit();
                long version = simulation.store().version(ChangeCommitter.HEAD_KEY);
                while (simulation.store().version(ChangeCommitter.HEAD_KEY) == version) {
                    simulation.run(1);
                }
                long millis = 0;
                while (simulation.hostsUpToDate() < hosts) {
                    simulation.run(STEP_MILLIS);
                    millis += STEP_MILLIS;
                }
                sum += millis;
                largest = Math.max(largest, millis);
            }
            System.out.printf("| %d | %d | %d | %.2f |%n", hosts, sum / CHANGES, largest, calls);
        }
    }
}
