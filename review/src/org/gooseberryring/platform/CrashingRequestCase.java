package org.gooseberryring.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Guards against a request that crashes each runner again after the hosts were restarted one after the other. */
final class CrashingRequestCase {
    private static final String CONFIGURATION = """
            {"version":3,"routes":[
             {"name":"status","host":"shop.example","path_prefix":"/status/","kind":"idempotent","timeout_ms":3000,
              "target_latency_ms":400,"priority":2,"service":"reorder-api","max_attempts":2,"public":false}],
             "services":[{"name":"reorder-api","health_path":"/healthz","max_connections":100,"protocol":"h1",
              "tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
              "idle_timeout_ms":15000},
             "tenants":[{"name":"tenant-a","api_keys":["key-a"],"priority":1,"unit":"token_stream",
              "plain_tokens":200,"rate_per_s":100000,"burst":100000}]}
            """;

    private static final int HOSTS = 2;
    private static final int RUNNERS = 3;
    private static final int CRASHES_ALLOWED = 3;
    private static final int RETRIES_ALLOWED = 3;
    private static final int ROLLING_RESTARTS = 3;
    private static final int SENDS = 6;
    private static final int SEND_PAUSE_MILLIS = 900;
    private static final int DOWN_MILLIS = 1_500;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int ROLL_GAP_MILLIS = 2_000;
    private static final int CLIENT_TIMEOUT_MILLIS = 5_000;

    private final ReviewCase surroundings;
    private final ScheduledExecutorService restarts = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "runner-restart");
        thread.setDaemon(true);
        return thread;
    });
    private final List<Arrival> arrivals = new ArrayList<>();
    private int ids;

    /** Arrival of the crashing request at a runner. */
    private record Arrival(String id, double seconds) {}

    private CrashingRequestCase(ReviewCase surroundings) {
        this.surroundings = surroundings;
    }

    public static void main(String[] args) {
        ReviewCase.main(args[0], surroundings -> new CrashingRequestCase(surroundings).run());
    }

    private boolean run() throws Exception {
        surroundings.store().put("config", "main", CONFIGURATION);
        for (int i = 1; i <= RUNNERS; i++) {
            startRunner("i-" + i);
        }
        List<ReviewHost> hosts = surroundings.startHosts(HOSTS);
        TimeUnit.MILLISECONDS.sleep(CONTACT_MILLIS);
        sendRepeatedly(hosts);
        double since = thirdCrash() + CONTACT_MILLIS / 1e3;
        surroundings.note("crashed a third runner " + (thirdCrash() > 0) + "; retries count from " + since + " s");
        for (int i = 0; i < ROLLING_RESTARTS; i++) {
            if (surroundings.trouble()) {
                restartInTurn(hosts);
            }
            // All hosts are in touch again before the request comes again.
            TimeUnit.MILLISECONDS.sleep(CONTACT_MILLIS + ROLL_GAP_MILLIS);
            sendRepeatedly(hosts);
        }
        long retries = countSince(since);
        surroundings.note(retries + " retries reached runners later than contact_ms after the third crash");
        if (thirdCrash() == 0) {
            throw new IllegalStateException("the request did not crash " + CRASHES_ALLOWED + " runners");
        }
        return retries > RETRIES_ALLOWED;
    }

    /** Sends the request again and again, each time with an id of its own, to one host after the other. */
    private void sendRepeatedly(List<ReviewHost> hosts) throws InterruptedException {
        for (int i = 0; i < SENDS; i++) {
            ReviewHost host = hosts.get(i % hosts.size());
            String id = "poison-" + ++ids;
            try (RawClient client = new RawClient(host, CLIENT_TIMEOUT_MILLIS)) {
                client.send("GET /status/poison HTTP/1.1\r\nHost: shop.example\r\nX-Gooseberryring-Request-Id: " + id
                        + "\r\nX-Gooseberryring-Deadline-Ms: 3000\r\nApi-Key: key-a\r\n\r\n");
                surroundings.note("sent " + id + " to " + host.name() + " -> " + client.readStatus());
            } catch (IOException e) {
                surroundings.note("sent " + id + " to " + host.name() + " -> " + e.getMessage());
            }
            TimeUnit.MILLISECONDS.sleep(SEND_PAUSE_MILLIS);
        }
    }

    private void restartInTurn(List<ReviewHost> hosts) throws IOException, InterruptedException {
        for (ReviewHost host : hosts) {
            surroundings.note("SIGTERM to " + host.name());
            host.stopAndStart();
            host.awaitReady();
            surroundings.note(host.name() + " is ready again");
            TimeUnit.MILLISECONDS.sleep(ROLL_GAP_MILLIS);
        }
    }

    private void startRunner(String id) {
        EndpointStandIn[] self = new EndpointStandIn[1];
        self[0] = surroundings.runner(id, "reorder-api", 6, (request, out) -> {
            if (request.line().contains("poison")) {
                arrived(id, request.header("X-Gooseberryring-Request-Id"));
                crash(id, self[0]);
                return false;
            }
            return ok(request, out);
        });
    }

    private static boolean ok(EndpointStandIn.Request request, OutputStream out) throws IOException {
        return EndpointStandIn.respondOk(request, out, "ok");
    }

    private void crash(String id, EndpointStandIn runner) {
        try {
            runner.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        restarts.schedule(() -> startRunner(id), DOWN_MILLIS, TimeUnit.MILLISECONDS);
    }

    private synchronized void arrived(String runner, String id) {
        arrivals.add(new Arrival(id, surroundings.seconds()));
        surroundings.note("runner " + runner + " begins to run " + id + " and crashes, " + arrivals.size());
    }

    /** Returns the time of the third crash in seconds, 0 if there were fewer. */
    private synchronized double thirdCrash() {
        return arrivals.size() < CRASHES_ALLOWED ? 0 : arrivals.get(CRASHES_ALLOWED - 1).seconds();
    }

    /** Returns the number of client attempts that reached a runner since a time. */
    private synchronized long countSince(double seconds) {
        return arrivals.stream()
                .filter(arrival -> arrival.seconds() > seconds)
                .map(Arrival::id)
                .distinct()
                .count();
    }
}
