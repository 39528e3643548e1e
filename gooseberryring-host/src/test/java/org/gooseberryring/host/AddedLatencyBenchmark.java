package org.gooseberryring.host;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.standins.EngineStandIn;

/**
 * Measures the latency that a host adds to short completions or to calls of a plain service.
 *
 * <p>Slices of direct requests to the engine stand-in alternate with slices of requests through the host at the same
 * rate. Each connection follows a fixed schedule, and latency is measured from the scheduled time, so that a
 * stall also counts for the requests delayed by it.
 *
 * <p>Optional arguments are {@code engine} or {@code service} and the rates in requests per second.
 */
public final class AddedLatencyBenchmark {
    private static final int CONNECTIONS = 16;
    private static final int WARM_UP_RATE = 2000;
    private static final int WARM_UP_ROUNDS = 2;
    private static final int ROUNDS = 3;
    private static final long SLICE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long MAX_LATENCY_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double TAIL_PERCENTILE = 99;

    private final ExecutorService connections = Executors.newFixedThreadPool(CONNECTIONS);
    private final byte[] body = Json.write(Map.of("model", "m", "prompt", "hello", "max_tokens", 1));
    private final Target direct;
    private final Target throughHost;

    private AddedLatencyBenchmark(URI engine, URI host) {
        this.direct = new Target(engine);
        this.throughHost = new Target(host);
    }

    /** Runs the benchmark and prints the results. */
    public static void main(String[] args) throws Exception {
        // By default, the JDK keeps only five idle connections to one address.
        System.setProperty("http.maxConnections", String.valueOf(CONNECTIONS));
        Path directory = Files.createTempDirectory("added-latency");
        try (TestFleet fleet = new TestFleet(directory)) {
            EngineStandIn engine = fleet.engine("e1");
            Host host = fleet.host("h1", "d1", "{}");
            fleet.configure(host);
            boolean service = args.length > 0 && "service".equals(args[0]);
            AddedLatencyBenchmark benchmark = service
                    ? new AddedLatencyBenchmark(
                            URI.create("http://" + fleet.desk().address() + "/status"),
                            TestFleet.uri(host.callerAddress(), "/services/desk/status"))
                    : new AddedLatencyBenchmark(
                            URI.create("http://" + engine.address() + "/v1/completions"),
                            TestFleet.uri(host.callerAddress(), "/v1/completions"));
            List<String> rates = List.of(args).subList(Math.min(1, args.length), args.length);
            benchmark.run(rates.isEmpty() ? List.of("500", "2000", "5000") : rates);
            benchmark.connections.shutdown();
        }
    }

    private void run(List<String> rates) throws Exception {
        measure(WARM_UP_RATE, WARM_UP_ROUNDS);
        for (String rate : rates) {
            direct.reset();
            throughHost.reset();
            measure(Integer.parseInt(rate), ROUNDS);
            print(rate, "direct", direct);
            print(rate, "host", throughHost);
            System.out.printf(
                    "%s/s added: median %.3f ms, p99 %.3f ms%n",
                    rate,
                    throughHost.millis(MEDIAN_PERCENTILE) - direct.millis(MEDIAN_PERCENTILE),
                    throughHost.millis(TAIL_PERCENTILE) - direct.millis(TAIL_PERCENTILE));
        }
    }

    private void measure(int rate, int rounds) throws Exception {
        for (int round = 0; round < rounds; round++) {
            runSlice(rate, direct);
            runSlice(rate, throughHost);
        }
    }

    private void runSlice(int rate, Target target) throws Exception {
        long interval = TimeUnit.SECONDS.toNanos(1) / rate;
        long start = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1);
        List<Future<?>> running = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            long first = start + i * interval;
            running.add(
                    connections.submit(() -> runSchedule(first, interval * CONNECTIONS, start + SLICE_NANOS, target)));
        }
        for (Future<?> connection : running) {
            connection.get();
        }
        target.elapsedNanos += System.nanoTime() - start;
    }

    private void runSchedule(long first, long step, long end, Target target) {
        for (long scheduledNanos = first; scheduledNanos < end; scheduledNanos += step) {
            long wait = scheduledNanos - System.nanoTime();
            while (wait > 0) {
                LockSupport.parkNanos(wait);
                wait = scheduledNanos - System.nanoTime();
            }
            if (send(target.uri)) {
                target.latencies.recordValue(Math.min(MAX_LATENCY_NANOS, System.nanoTime() - scheduledNanos));
            } else {
                target.failures.incrementAndGet();
            }
        }
    }

    private boolean send(URI uri) {
        try {
            HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
            connection.setDoOutput(true);
            connection.setRequestProperty("Authorization", "Bearer " + TestFleet.KEY);
            connection.setRequestProperty("Content-Type", "application/json");
            connection.setRequestProperty("X-Request-Id", UUID.randomUUID().toString());
            try (OutputStream out = connection.getOutputStream()) {
                out.write(body);
            }
            boolean ok = connection.getResponseCode() == HttpURLConnection.HTTP_OK;
            try (InputStream in = ok ? connection.getInputStream() : connection.getErrorStream()) {
                return in != null && in.readAllBytes().length > 0 && ok;
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void print(String rate, String name, Target target) {
        Histogram latencies = target.latencies;
        System.out.printf(
                "%s/s %s: median %.3f ms, p99 %.3f ms, max %.3f ms, %d responses (%.0f/s), %d not 200%n",
                rate,
                name,
                target.millis(MEDIAN_PERCENTILE),
                target.millis(TAIL_PERCENTILE),
                latencies.getMaxValue() / NANOS_PER_MILLI,
                latencies.getTotalCount(),
                latencies.getTotalCount() * (double) TimeUnit.SECONDS.toNanos(1) / target.elapsedNanos,
                target.failures.get());
    }

    /** Destination of the requests: the stand-in itself or the host in front of it. */
    private static final class Target {
        private final URI uri;
        private final Histogram latencies = new ConcurrentHistogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
        private final AtomicLong failures = new AtomicLong();
        private long elapsedNanos;

        Target(URI uri) {
            this.uri = uri;
        }

        void reset() {
            latencies.reset();
            failures.set(0);
            elapsedNanos = 0;
        }

        double millis(double percentile) {
            return latencies.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
        }
    }
}
