package org.gooseberryring.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Guards against streams that go on at another software version, at a runner that has started again under its id. */
final class MixedVersionsCase {
    private static final String CONFIGURATION = """
            {"version":3,"routes":[
             {"name":"draft","host":"shop.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":10000,
              "target_latency_ms":4000,"priority":2,"service":"lm-pool","max_attempts":2,"public":false,
              "session_affinity":true,"resumable":true,"target_gap_ms":300}],
             "services":[{"name":"lm-pool","health_path":"/healthz","max_connections":360,"protocol":"h1",
              "tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
              "idle_timeout_ms":15000},
             "tenants":[{"name":"tenant-a","api_keys":["key-a"],"priority":1,"unit":"token_stream",
              "plain_tokens":200,"rate_per_s":100000,"burst":100000}]}
            """;

    private static final int SLOTS = 64;
    private static final int RUNNERS = 4;
    private static final int STREAMS = 120;
    private static final int EVENTS = 50;
    private static final int EVENT_MILLIS = 100;
    private static final int STORE_DOWN_MILLIS = 4_400;
    private static final int RUNNER_DOWN_MILLIS = 2_000;
    private static final int MIXED_ALLOWED = 2;
    private static final int CLIENT_MILLIS = 4_000;

    private final ReviewCase surroundings;
    private final Map<String, EndpointStandIn> runners = new ConcurrentHashMap<>();
    private final Map<String, FixedAddress> addresses = new ConcurrentHashMap<>();
    private final Map<String, Integer> ports = new ConcurrentHashMap<>();
    private final Map<String, Set<String>> versionsByStream = Collections.synchronizedMap(new TreeMap<>());

    private MixedVersionsCase(ReviewCase surroundings) {
        this.surroundings = surroundings;
    }

    public static void main(String[] args) {
        ReviewCase.main(args[0], surroundings -> new MixedVersionsCase(surroundings).run());
    }

    private boolean run() throws Exception {
        surroundings.store().put("config", "main", CONFIGURATION);
        for (int i = 1; i <= RUNNERS; i++) {
            start("i-" + i, "v1", true);
        }
        ReviewHost host = surroundings.startHosts(1).get(0);
        TimeUnit.SECONDS.sleep(2);
        long downAt = System.nanoTime();
        boolean storeAnswers = !surroundings.trouble();
        surroundings.store().unresponsive(!storeAnswers);
        surroundings.note("store answers: " + storeAnswers);
        restart("i-1", storeAnswers);
        List<Thread> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            String id = "draft-" + i;
            streams.add(daemon(() -> stream(host, id)));
        }
        TimeUnit.MILLISECONDS.sleep(8L * EVENT_MILLIS);
        crash("i-2");
        TimeUnit.MILLISECONDS.sleep(STORE_DOWN_MILLIS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - downAt));
        surroundings.store().unresponsive(false);
        surroundings.note("store answers: true");
        register("i-1", "v2");
        for (Thread stream : streams) {
            stream.join();
        }
        versionsByStream.forEach(
                (id, versions) -> surroundings.note("stream " + id + " holds events of " + versions));
        long mixed = versionsByStream.values().stream()
                .filter(versions -> versions.size() > 1)
                .count();
        surroundings.note(mixed + " streams hold events of two software versions, " + MIXED_ALLOWED + " allowed");
        return mixed > MIXED_ALLOWED;
    }

    /** Ends a runner and starts it again at the same address and under the same id, with the next software version. */
    private void restart(String id, boolean storeAnswers) throws IOException, InterruptedException {
        crash(id);
        TimeUnit.MILLISECONDS.sleep(RUNNER_DOWN_MILLIS);
        start(id, "v2", storeAnswers);
        surroundings.note("runner " + id + " is back with version v2");
        // A host that may read the store learns of it meanwhile.
        TimeUnit.MILLISECONDS.sleep(10L * EVENT_MILLIS);
    }

    private void crash(String id) throws IOException {
        surroundings.note("runner " + id + " crashes");
        addresses.get(id).close();
        runners.get(id).close();
    }

    private void start(String id, String version, boolean registers) throws IOException {
        EndpointStandIn runner =
                surroundings.standIn(id, (request, out) -> respond(request, out, id, version));
        runners.put(id, runner);
        int port = ports.computeIfAbsent(id, key -> TestPorts.next());
        addresses.put(id, new FixedAddress(port, Integer.parseInt(runner.address().split(":")[1])));
        if (registers) {
            register(id, version);
        }
    }

    private void register(String id, String version) {
        surroundings.register(id, "lm-pool", "127.0.0.1:" + ports.get(id), SLOTS, version);
    }

    private static boolean respond(EndpointStandIn.Request request, OutputStream out, String id, String version)
            throws IOException {
        if (request.line().startsWith("GET /-/report")) {
            return EndpointStandIn.respondOk(request, out, "{\"stage\":\"unified\",\"models\":[],\"busy\":false}");
        }
        String after = request.header("Last-Event-Id");
        EndpointStandIn.streamHead(request, out);
        for (int event = after == null ? 1 : Integer.parseInt(after) + 1; event <= EVENTS; event++) {
            EndpointStandIn.chunk(out, "id: " + event + "\ndata: " + version + " " + id + "\n\n");
            pause(EVENT_MILLIS);
        }
        EndpointStandIn.lastChunk(out);
        return false;
    }

    /** Reads a stream and records the versions of the runners whose events it holds. */
    private void stream(ReviewHost host, String id) {
        Set<String> versions = new TreeSet<>();
        versionsByStream.put(id, versions);
        int seen = 0;
        try (Socket socket = new Socket(host.ip(), host.frontPort())) {
            socket.setSoTimeout(CLIENT_MILLIS);
            socket.getOutputStream()
                    .write(("POST /draft/" + id + " HTTP/1.1\r\nHost: shop.example"
                                    + "\r\nX-Gooseberryring-Request-Id: " + id
                                    + "\r\nX-Gooseberryring-Deadline-Ms: 10000\r\nApi-Key: key-a\r\nConnection: close"
                                    + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            BufferedReader lines = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (line.startsWith("data: ")) {
                    seen++;
                    versions.add(line.split(" ")[1]);
                }
            }
        } catch (IOException e) {
            surroundings.note("stream " + id + ": " + e.getMessage());
        }
        surroundings.note("stream " + id + " ended with " + seen + " of " + EVENTS + " events");
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
