package org.gooseberryring.coordination.exchange;

import java.util.Locale;

/**
 * Prints the rates of messages and host updates that a host sends for several fleet sizes, in virtual time.
 *
 * <p>Each host changes one entry per second, at a different time.
 */
public final class ExchangeSlopeBenchmark {
    private static final int DOMAINS = 5;
    private static final int[] HOSTS = {30, 100, 300};
    private static final int SECONDS = 10;

    private ExchangeSlopeBenchmark() {}

    /** Runs the benchmark. */
    public static void main(String[] args) {
        System.out.println("hosts  member: messages/s updates/s  relay: messages/s updates/s  last host to hear: ms");
        for (int hosts : HOSTS) {
            ExchangeWorld world = new ExchangeWorld(DOMAINS, hosts / DOMAINS);
            world.advance(4_000);
            ExchangeWorld.Node member = world.node("d1-h03");
            ExchangeWorld.Node relay = world.node("d1-h00");
            world.running().forEach(node -> {
                node.takeSent();
                node.takeUpdates();
            });
            for (int second = 0; second < SECONDS; second++) {
                long value = second;
                world.running().forEach(node -> node.publish("k", value));
                world.advance(1_000);
            }
            double sent = member.takeSent() / (double) SECONDS;
            double updates = member.takeUpdates() / (double) SECONDS;
            double relaySent = relay.takeSent() / (double) SECONDS;
            double relayUpdates = relay.takeUpdates() / (double) SECONDS;
            System.out.printf(
                    Locale.ROOT,
                    "%5d  %10.1f %9.1f  %13.1f %9.1f  %10d%n",
                    hosts,
                    sent,
                    updates,
                    relaySent,
                    relayUpdates,
                    convergence(world));
        }
    }

    private static long convergence(ExchangeWorld world) {
        long started = world.now();
        world.node("d3-h02").publish("late", 1L);
        while (world.running().stream().anyMatch(node -> node.value("d3-h02", "late") == null)) {
            world.advance(10);
        }
        return world.now() - started;
    }
}
