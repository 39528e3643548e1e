package org.gooseberryring.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Guards against a lookup that many callers repeat and that all hosts refuse for good after a runner has crashed. */
final class PopularLookupCase {
    private static final String CONFIGURATION = """
            {"version":3,"routes":[
             {"name":"status","host":"shop.example","path_prefix":"/status/","kind":"idempotent","timeout_ms":3000,
              "target_latency_ms":800,"priority":2,"service":"reorder-api","max_attempts":2,"public":false}],
             "services":[{"name":"reorder-api","health_path":"/healthz","max_connections":100,"protocol":"h1",
              "tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
              "idle_timeout_ms":15000},
             "tenants":[{"name":"tenant-a","api_keys":["key-a"],"priority":1,"unit":"token_stream",
              "plain_tokens":200,"rate_per_s":1000000,"burst":1000000}]}
            """;

    private static final int HOSTS = 3;
    private static final int RUNNERS = 8;
    private static final int SLOTS = 16;
    private static final int RUN_MILLIS = 300;
    private static final int PER_SECOND = 140;

    /** Of ten requests nine look up the same order; the others look up an order of their own. */
    private static final int OTHERS_EACH = 10;

    private static final int CLIENT_MILLIS = 4_000;
    private static final double FINAL_FAULT_SECONDS = 10;
    private static final int DOWN_MILLIS = 800;
    private static final int CRASH_AFTER_MILLIS = 3_000;
    private static final int RUNNER_DOWN_MILLIS = 2_000;
    private static final int CRASHED_TOGETHER = 2;
    private static final double RECOVER_SECONDS = 12;
    private static final double MEASURED_SECONDS = 15;
    private static final int OK = 200;

    private final ReviewCase surroundings;
    private final Map<String, EndpointStandIn> runners = new ConcurrentHashMap<>();
    private final List<Outcome> outcomes = new ArrayList<>();
    private volatile boolean ended;

    /** Answer to a request: when it was sent, in seconds, and its status, 0 without an answer. */
    private record Outcome(double sent, int status) {}

    private PopularLookupCase(ReviewCase surroundings) {
        this.surroundings = surroundings;
    }

    public static void main(String[] args) {
        ReviewCase.main(args[0], surroundings -> new PopularLookupCase(surroundings).run());
    }

    private boolean run() throws Exception {
        surroundings.store().put("config", "main", CONFIGURATION);
        for (int i = 1; i <= RUNNERS; i++) {
            startRunner("i-" + i);
        }
        List<ReviewHost> hosts = surroundings.startHosts(HOSTS);
        Thread clients = new Thread(() -> sendAll(hosts));
        clients.start();
        TimeUnit.MILLISECONDS.sleep((long) (FINAL_FAULT_SECONDS * 1_000));
        double faultAt = surroundings.seconds();
        if (surroundings.trouble()) {
            killAll(hosts);
        }
        double backAt = surroundings.seconds();
        note("before the final fault", 0, faultAt);
        TimeUnit.MILLISECONDS.sleep(CRASH_AFTER_MILLIS);
        if (surroundings.trouble()) {
            crashTogether();
        }
        double from = backAt + RECOVER_SECONDS;
        TimeUnit.MILLISECONDS.sleep((long) ((from + MEASURED_SECONDS - surroundings.seconds()) * 1_000));
        double to = surroundings.seconds();
        ended = true;
        clients.join();
        double before = note("before the final fault", 0, faultAt);
        double after = note("later than recover_s after the machines are back", from, to);
        return before >= 0.25 && after < 0.25;
    }

    private void killAll(List<ReviewHost> hosts) throws IOException, InterruptedException {
        surroundings.note("SIGKILL to all hosts");
        for (ReviewHost host : hosts) {
            host.close();
        }
        TimeUnit.MILLISECONDS.sleep(DOWN_MILLIS);
        for (ReviewHost host : hosts) {
            host.start();
        }
        for (ReviewHost host : hosts) {
            host.awaitReady();
        }
        surroundings.note("all hosts are ready again");
    }

    private void crashTogether() throws IOException, InterruptedException {
        for (int i = 1; i <= CRASHED_TOGETHER; i++) {
            surroundings.note("runner i-" + i + " crashes");
            runners.get("i-" + i).close();
        }
        TimeUnit.MILLISECONDS.sleep(RUNNER_DOWN_MILLIS);
        for (int i = 1; i <= CRASHED_TOGETHER; i++) {
            startRunner("i-" + i);
        }
        surroundings.note("the runners are back");
    }

    private void startRunner(String id) {
        runners.put(id, surroundings.runner(id, "reorder-api", SLOTS, (request, out) -> {
            pause(RUN_MILLIS);
            return EndpointStandIn.respondOk(request, out, "ok");
        }));
    }

    private void sendAll(List<ReviewHost> hosts) {
        ExecutorService clients = Executors.newCachedThreadPool();
        double next = surroundings.seconds();
        for (int i = 0; !ended; i++) {
            pause((long) ((next - surroundings.seconds()) * 1_000));
            int number = i;
            clients.execute(() -> send(hosts.get(number % hosts.size()), number));
            next += 1.0 / PER_SECOND;
        }
        clients.shutdown();
        try {
            clients.awaitTermination(2 * CLIENT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(ReviewHost host, int number) {
        String path = number % OTHERS_EACH == 0 ? "/status/order-" + number : "/status/order-of-the-day";
        double sent = surroundings.seconds();
        int status = 0;
        try (RawClient client = new RawClient(host, CLIENT_MILLIS)) {
            client.send("GET " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Gooseberryring-Request-Id: lookup-"
                    + number + "\r\nX-Gooseberryring-Deadline-Ms: 3000\r\nApi-Key: key-a\r\n\r\n");
            status = client.readStatus();
        } catch (IOException e) {
            // Counts as no answer.
        }
        add(new Outcome(sent, status));
    }

    private synchronized void add(Outcome outcome) {
        outcomes.add(outcome);
    }

    /** Notes the outcomes of the requests sent within a time and returns the share that was served. */
    private synchronized double note(String span, double from, double to) {
        Map<Integer, Integer> statuses = new TreeMap<>();
        outcomes.stream()
                .filter(outcome -> outcome.sent() >= from && outcome.sent() < to)
                .forEach(outcome -> statuses.merge(outcome.status(), 1, Integer::sum));
        int all = statuses.values().stream().mapToInt(Integer::intValue).sum();
        double served = all == 0 ? 0 : statuses.getOrDefault(OK, 0) / (double) all;
        surroundings.note(span + ": statuses " + statuses + ", served " + served);
        return served;
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
