package org.gooseberryring.standins;

/**
 * Settings of an engine stand-in.
 *
 * @param id identifier of the endpoint
 * @param port port on the loopback address, or 0 for a free one
 * @param memoryBytes accelerator memory, in bytes
 * @param maxConcurrency maximum number of concurrent requests when warm
 * @param fencingEnforced whether orders with an old fencing number are rejected
 * @param firstTokenMillis time to the first token, in milliseconds
 * @param tokenMillis time between tokens, in milliseconds
 * @param reportMillis interval at which the load report is refreshed, in milliseconds; 0 for a fresh report on each read
 */
public record EngineSettings(
        String id,
        int port,
        long memoryBytes,
        int maxConcurrency,
        boolean fencingEnforced,
        long firstTokenMillis,
        long tokenMillis,
        long reportMillis) {
    /** Returns the settings of an engine that runs on a free port without delays and enforces fencing numbers. */
    public static EngineSettings of(String id, long memoryBytes, int maxConcurrency) {
        return new EngineSettings(id, 0, memoryBytes, maxConcurrency, true, 0, 0, 0);
    }

    public EngineSettings withFencing(boolean enforced) {
        return new EngineSettings(
                id, port, memoryBytes, maxConcurrency, enforced, firstTokenMillis, tokenMillis, reportMillis);
    }

    /** Returns the same settings with other times to the first token and between tokens, in milliseconds. */
    public EngineSettings withPace(long otherFirstTokenMillis, long otherTokenMillis) {
        return new EngineSettings(
                id,
                port,
                memoryBytes,
                maxConcurrency,
                fencingEnforced,
                otherFirstTokenMillis,
                otherTokenMillis,
                reportMillis);
    }

    public EngineSettings withReportMillis(long millis) {
        return new EngineSettings(
                id, port, memoryBytes, maxConcurrency, fencingEnforced, firstTokenMillis, tokenMillis, millis);
    }

    /** Returns the same settings with a fixed port. */
    public EngineSettings withPort(int fixedPort) {
        return new EngineSettings(
                id,
                fixedPort,
                memoryBytes,
                maxConcurrency,
                fencingEnforced,
                firstTokenMillis,
                tokenMillis,
                reportMillis);
    }
}
