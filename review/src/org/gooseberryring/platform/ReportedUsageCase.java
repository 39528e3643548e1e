package org.gooseberryring.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Guards against a tenant limit that counts the tokens which an answer mentions instead of the size of the request. */
final class ReportedUsageCase {
    private static final int RATE_PER_SECOND = 40_000;
    private static final int BURST = 40_000;
    private static final int WINDOW_SECONDS = 8;
    private static final double OVERAGE = 0.1;
    private static final int SLACK = 110_000;

    /** Tokens of a request: prompt and the most that may be generated. */
    private static final int PROMPT_TOKENS = 500;

    private static final int MAX_OUTPUT_TOKENS = 3_500;
    private static final int REQUEST_TOKENS = PROMPT_TOKENS + MAX_OUTPUT_TOKENS;

    /** The limit is 1.8 times what the tenant sends as a rule, as in the site file. */
    private static final double USUAL_PER_SECOND = RATE_PER_SECOND / 1.8 / REQUEST_TOKENS;

    private static final double HOT_FACTOR = 7.5;
    private static final double HOT_FROM_SECONDS = 12;
    private static final double HOT_SECONDS = 6.5;
    private static final double SECONDS = 24;
    private static final int DEADLINE_MILLIS = 5_000;
    private static final String USAGE =
            "{\"usage\":{\"prompt_tokens\":500,\"completion_tokens\":40,\"total_tokens\":540}}";

    private static final String CONFIGURATION = """
            {"version":3,"routes":[
             {"name":"draft","host":"shop.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":5000,
              "target_latency_ms":800,"priority":1,"service":"lm-pool","max_attempts":1,"public":false,
              "resumable":false,"target_gap_ms":300}],
             "services":[{"name":"lm-pool","health_path":"/healthz","max_connections":360,"protocol":"h1",
              "tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
              "idle_timeout_ms":15000},
             "tenants":[{"name":"tenant-a","api_keys":["key-a"],"priority":1,"unit":"token_stream",
              "plain_tokens":200,"rate_per_s":%d,"burst":%d}]}
            """.formatted(RATE_PER_SECOND, BURST);

    private final ReviewCase surroundings;
    private final Map<String, Double> sentAt = Collections.synchronizedMap(new HashMap<>());
    private final List<Run> runs = Collections.synchronizedList(new ArrayList<>());
    private final Map<Integer, Integer> statuses = Collections.synchronizedMap(new HashMap<>());

    /** Request that ran: when its client sent it and when it reached the runner, in seconds. */
    private record Run(double sent, double arrived) {}

    private ReportedUsageCase(ReviewCase surroundings) {
        this.surroundings = surroundings;
    }

    public static void main(String[] args) {
        ReviewCase.main(args[0], surroundings -> new ReportedUsageCase(surroundings).run());
    }

    private boolean run() throws Exception {
        surroundings.store().put("config", "main", CONFIGURATION);
        for (String id : List.of("i-1", "i-2")) {
            surroundings.runner(id, "lm-pool", 64, (request, out) -> {
                String requestId = request.header("X-Gooseberryring-Request-Id");
                runs.add(new Run(sentAt.get(requestId), surroundings.seconds()));
                EndpointStandIn.streamHead(request, out);
                EndpointStandIn.chunk(out, "id: 1\ndata: draft\n\n");
                EndpointStandIn.chunk(out, "id: 2\ndata: " + USAGE + "\n\n");
                EndpointStandIn.lastChunk(out);
                return true;
            });
        }
        List<ReviewHost> hosts = surroundings.startHosts(2);
        sendAll(hosts);
        double allowed = (RATE_PER_SECOND * (double) WINDOW_SECONDS + BURST) * (1 + OVERAGE) + SLACK;
        double most = mostTokensInAWindow();
        surroundings.note("statuses " + statuses + ", requests that ran " + runs.size());
        surroundings.note("most tokens sent and run in " + WINDOW_SECONDS + " s: " + most + ", allowed " + allowed);
        return most > allowed;
    }

    private void sendAll(List<ReviewHost> hosts) throws InterruptedException {
        ExecutorService clients = Executors.newCachedThreadPool();
        double start = surroundings.seconds();
        double next = start;
        surroundings.note("usual requests a second " + USUAL_PER_SECOND);
        for (int i = 0; next < start + SECONDS; i++) {
            TimeUnit.MILLISECONDS.sleep(Math.max(0, (long) ((next - surroundings.seconds()) * 1_000)));
            ReviewHost host = hosts.get(i % hosts.size());
            String id = "draft-" + i;
            clients.execute(() -> send(host, id));
            double since = next - start - HOT_FROM_SECONDS;
            boolean hot = surroundings.trouble() && since >= 0 && since < HOT_SECONDS;
            next += 1 / (hot ? HOT_FACTOR * USUAL_PER_SECOND : USUAL_PER_SECOND);
        }
        clients.shutdown();
        clients.awaitTermination(2 * DEADLINE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void send(ReviewHost host, String id) {
        int status = 0;
        try (RawClient client = new RawClient(host, DEADLINE_MILLIS)) {
            sentAt.put(id, surroundings.seconds());
            client.send("POST /draft/mail HTTP/1.1\r\nHost: shop.example\r\nX-Gooseberryring-Request-Id: " + id
                    + "\r\nX-Gooseberryring-Token-Usage: " + PROMPT_TOKENS + "," + MAX_OUTPUT_TOKENS
                    + "\r\nX-Gooseberryring-Deadline-Ms: " + DEADLINE_MILLIS
                    + "\r\nApi-Key: key-a\r\nContent-Length: 0\r\n\r\n");
            status = client.readStatus();
        } catch (IOException e) {
            surroundings.note("sent " + id + " -> " + e.getMessage());
        }
        statuses.merge(status, 1, Integer::sum);
    }

    /** Returns the most tokens of requests that were sent and reached a runner within a window. */
    private double mostTokensInAWindow() {
        double most = 0;
        for (Run first : runs) {
            double from = first.sent();
            long inside = runs.stream()
                    .filter(run -> run.sent() >= from && run.arrived() < from + WINDOW_SECONDS)
                    .count();
            most = Math.max(most, (double) inside * REQUEST_TOKENS);
        }
        return most;
    }
}
