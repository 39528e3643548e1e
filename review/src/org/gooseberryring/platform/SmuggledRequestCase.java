package org.gooseberryring.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * Guards against a request target in absolute form whose decoded path is written to the runner: the runner then runs
 * another path than the client's, or a second request that is hidden in the path.
 */
final class SmuggledRequestCase {
    private static final String CONFIGURATION = """
            {"version":3,"routes":[
             {"name":"status","host":"shop.example","path_prefix":"/status/","kind":"idempotent","timeout_ms":3000,
              "target_latency_ms":400,"priority":2,"service":"reorder-api","max_attempts":1,"public":false}],
             "services":[{"name":"reorder-api","health_path":"/healthz","max_connections":100,"protocol":"h1",
              "tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
              "idle_timeout_ms":15000},
             "tenants":[{"name":"tenant-a","api_keys":["key-a"],"priority":1,"unit":"token_stream",
              "plain_tokens":200,"rate_per_s":100000,"burst":100000}]}
            """;

    private static final int ROUNDS = 5;
    private static final int TIMEOUT_MILLIS = 5_000;

    private static final String RUNNER = "i-1";

    /** Request line that a runner accepts; it answers 400 to any other one and does not run it. */
    private static final Pattern REQUEST_LINE = Pattern.compile("[A-Z]+ \\S+ HTTP/1\\.1");

    private SmuggledRequestCase() {}

    public static void main(String[] args) {
        ReviewCase.main(args[0], SmuggledRequestCase::run);
    }

    private static boolean run(ReviewCase surroundings) throws Exception {
        Map<String, String> sent = Collections.synchronizedMap(new TreeMap<>());
        List<String> broken = Collections.synchronizedList(new ArrayList<>());
        surroundings.store().put("config", "main", CONFIGURATION);
        surroundings.runner(RUNNER, "reorder-api", 6, (request, out) -> {
            String expected = request.header("X-Gooseberryring-Expect-Instance");
            boolean malformed = !REQUEST_LINE.matcher(request.line()).matches()
                    || request.header("X-Gooseberryring-Request-Id") == null;
            if (malformed || expected != null && !expected.equals(RUNNER)) {
                surroundings.note("rejected " + request.line());
                String status = malformed ? "400 Bad Request" : "421 Misdirected Request";
                out.write(("HTTP/1.1 " + status + "\r\nX-Gooseberryring-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                return !malformed;
            }
            judge(surroundings, request, sent, broken);
            return EndpointStandIn.respondOk(request, out, "done");
        });
        ReviewHost host = surroundings.startHosts(1).get(0);
        // Without the disruption the same paths are sent in origin form.
        String authority = surroundings.trouble() ? "http://shop.example" : "";
        for (int round = 0; round < ROUNDS; round++) {
            send(surroundings, host, sent, "plain-" + round, authority + "/status/book-" + round);
            send(surroundings, host, sent, "encoded-" + round, authority + "/status/is%20it%20there%3Fbook=" + round);
            send(surroundings, host, sent, "encoded-mark-" + round, authority + "/status/book%3F" + round);
            send(surroundings, host, sent, "hiding-" + round, authority + "/status/" + hidden("hidden-" + round));
        }
        broken.forEach(surroundings::note);
        surroundings.note(broken.size() + " requests ran that no client sent like that");
        return !broken.isEmpty();
    }

    /** Returns a path segment that holds the rest of one request and another one when it is decoded. */
    private static String hidden(String id) {
        String requests = "x HTTP/1.1\r\nHost: shop.example\r\nX-Gooseberryring-Request-Id: " + id
                + "\r\nX-Gooseberryring-Tenant-Id: tenant-b\r\n\r\nDELETE /books/all HTTP/1.1\r\nX-Rest: ";
        return requests.replace(" ", "%20").replace("\r", "%0D").replace("\n", "%0A");
    }

    private static void send(
            ReviewCase surroundings, ReviewHost host, Map<String, String> sent, String id, String target)
            throws IOException {
        sent.put(id, "GET " + target.replace("http://shop.example", ""));
        try (RawClient client = new RawClient(host, TIMEOUT_MILLIS)) {
            client.send("GET " + target + " HTTP/1.1\r\nHost: shop.example\r\nX-Gooseberryring-Request-Id: " + id
                    + "\r\nX-Gooseberryring-Deadline-Ms: 3000\r\nApi-Key: key-a\r\n\r\n");
            surroundings.note("sent " + id + " " + target + " -> " + client.readStatus());
        }
    }

    private static void judge(
            ReviewCase surroundings, EndpointStandIn.Request request, Map<String, String> sent, List<String> broken) {
        String id = request.header("X-Gooseberryring-Request-Id");
        String tenant = request.header("X-Gooseberryring-Tenant-Id");
        String line = request.line().replace(" HTTP/1.1", "").replace("http://shop.example", "");
        surroundings.note("ran " + id + " " + line + " tenant=" + tenant);
        String asked = id == null ? null : sent.get(id);
        if (asked == null) {
            broken.add("UNASKED: ran " + line + " with id " + id + " and tenant " + tenant + ", which no client sent");
        } else if (!asked.equals(line)) {
            broken.add("UNASKED: ran " + line + " for " + id + ", the client sent " + asked);
        } else if (!"tenant-a".equals(tenant)) {
            broken.add("UNASKED: ran " + id + " for tenant " + tenant);
        }
    }
}
