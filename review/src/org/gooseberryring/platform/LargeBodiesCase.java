package org.gooseberryring.platform;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Guards against a host whose memory is used up by request bodies of an allowed size: it stops answering, although
 * other requests are small and their runner is idle.
 */
final class LargeBodiesCase {
    private static final String CONFIGURATION = """
            {"version":3,"routes":[
             {"name":"upload","host":"shop.example","path_prefix":"/upload/","kind":"non_idempotent","timeout_ms":5000,
              "target_latency_ms":3000,"priority":2,"service":"archive","max_attempts":1,"public":false},
             {"name":"status","host":"shop.example","path_prefix":"/status/","kind":"idempotent","timeout_ms":1000,
              "target_latency_ms":400,"priority":2,"service":"reorder-api","max_attempts":1,"public":false}],
             "services":[{"name":"archive","health_path":"/healthz","max_connections":400,"protocol":"h1",
              "tls":false,"cold_start_s":0.0,"cold_per_s":0.0},
              {"name":"reorder-api","health_path":"/healthz","max_connections":400,"protocol":"h1",
              "tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
              "idle_timeout_ms":15000},
             "tenants":[{"name":"tenant-a","api_keys":["key-a"],"priority":1,"unit":"token_stream",
              "plain_tokens":200,"rate_per_s":100000,"burst":100000},
              {"name":"tenant-b","api_keys":["key-b"],"priority":1,"unit":"token_stream",
              "plain_tokens":200,"rate_per_s":100000,"burst":100000}]}
            """;

    /** Clients that upload all the time, and those of a tenant that sends 7.5 times its usual for 6.5 s. */
    private static final int USUAL_UPLOADS = 8;

    private static final int HOT_UPLOADS = 60;
    private static final double HOT_FROM_SECONDS = 5;
    private static final double HOT_SECONDS = 6.5;

    /** Time in which the parts of a body are sent; no upload begins later than this before the end of the surge. */
    private static final double UPLOAD_SECONDS = 1.5;

    private static final int BODY_BYTES = 1_900_000;
    private static final int PART_BYTES = 65_536;
    private static final int PART_MILLIS = 50;
    private static final int UPLOAD_DEADLINE_MILLIS = 5_000;
    private static final int SMALL_CLIENTS = 10;
    private static final int SMALL_PAUSE_MILLIS = 250;
    private static final int SMALL_TIMEOUT_MILLIS = 1_000;
    private static final int LATE_MILLIS = 500;
    private static final int RUNNER_MILLIS = 100;
    private static final int MIN_UNANSWERED = 8;
    private static final int SECONDS = 25;
    private static final int NOTE_SECONDS = 5;
    private static final long MILLIS = 1_000;
    private static final long NANOS = 1_000_000;

    private final ReviewCase surroundings;
    private final ReviewHost host;
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private volatile boolean ended;
    private long hotUntilNanos;

    private LargeBodiesCase(ReviewCase surroundings, ReviewHost host) {
        this.surroundings = surroundings;
        this.host = host;
    }

    public static void main(String[] args) {
        ReviewCase.main(args[0], LargeBodiesCase::run);
    }

    private static boolean run(ReviewCase surroundings) throws Exception {
        surroundings.store().put("config", "main", CONFIGURATION);
        for (String id : List.of("a-1", "a-2", "a-3", "a-4")) {
            surroundings.runner(id, "archive", 40, (request, out) -> {
                pause(RUNNER_MILLIS);
                return EndpointStandIn.respondOk(request, out, "stored");
            });
        }
        surroundings.runner("r-1", "reorder-api", 40, (request, out) -> EndpointStandIn.respondOk(request, out, "ok"));
        ReviewHost host = surroundings.startHosts(1).get(0);
        return new LargeBodiesCase(surroundings, host).play();
    }

    private boolean play() throws InterruptedException {
        surroundings.note(USUAL_UPLOADS + " clients upload " + BODY_BYTES + " bytes each, " + SMALL_CLIENTS
                + " clients send small requests");
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < USUAL_UPLOADS; i++) {
            threads.add(start(this::upload, 0));
        }
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            threads.add(start(this::sendSmall, SMALL_PAUSE_MILLIS));
        }
        pause((long) (HOT_FROM_SECONDS * MILLIS));
        if (surroundings.trouble()) {
            hotUntilNanos = System.nanoTime() + (long) ((HOT_SECONDS - UPLOAD_SECONDS) * MILLIS * NANOS);
            surroundings.note("one tenant uploads with " + HOT_UPLOADS + " clients for " + HOT_SECONDS + " s");
            for (int i = USUAL_UPLOADS; i < HOT_UPLOADS; i++) {
                threads.add(startHot());
            }
        }
        for (int second = 0; second < SECONDS; second += NOTE_SECONDS) {
            pause(NOTE_SECONDS * MILLIS);
            surroundings.note("outcomes " + outcomes() + " readiness=" + host.readiness());
        }
        ended = true;
        for (Thread thread : threads) {
            thread.join();
        }
        surroundings.note("outcomes " + outcomes() + ", process alive: " + host.isAlive());
        surroundings.note(unanswered + " small requests had no answer at the route's timeout_ms, " + late + " of them "
                + LATE_MILLIS + " ms later");
        return unanswered.get() >= MIN_UNANSWERED && 2 * late.get() > unanswered.get();
    }

    private Thread start(Runnable step, int pauseMillis) {
        return start(() -> {
            while (!ended) {
                step.run();
                pause(pauseMillis);
            }
        });
    }

    private Thread startHot() {
        return start(() -> {
            while (System.nanoTime() < hotUntilNanos) {
                upload();
            }
        });
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void upload() {
        try (RawClient client = new RawClient(host, UPLOAD_DEADLINE_MILLIS)) {
            client.send(head("POST /upload/file", "key-b", UPLOAD_DEADLINE_MILLIS) + "Content-Length: " + BODY_BYTES
                    + "\r\n\r\n");
            for (int sent = 0; sent < BODY_BYTES; sent += PART_BYTES) {
                client.send(new byte[Math.min(PART_BYTES, BODY_BYTES - sent)]);
                pause(PART_MILLIS);
            }
            count("upload " + client.readStatus());
        } catch (IOException e) {
            count("upload " + e.getMessage());
        }
    }

    private void sendSmall() {
        try (RawClient client = new RawClient(host, SMALL_TIMEOUT_MILLIS)) {
            client.send(head("GET /status/book", "key-a", 2 * SMALL_TIMEOUT_MILLIS) + "\r\n");
            try {
                count("small " + client.readStatus());
            } catch (SocketTimeoutException e) {
                unanswered.incrementAndGet();
                awaitLate(client);
            }
        } catch (IOException e) {
            count("small " + e.getMessage());
        }
    }

    private void awaitLate(RawClient client) throws IOException {
        try {
            client.setTimeout(LATE_MILLIS);
            count("small, after timeout_ms, " + client.readStatus());
        } catch (SocketTimeoutException e) {
            late.incrementAndGet();
            count("small, no answer");
        }
    }

    private String head(String line, String key, int deadlineMillis) {
        return line + " HTTP/1.1\r\nHost: shop.example\r\nX-Gooseberryring-Request-Id: r" + ids.incrementAndGet()
                + "\r\nX-Gooseberryring-Deadline-Ms: " + deadlineMillis + "\r\nApi-Key: " + key + "\r\n";
    }

    private synchronized void count(String outcome) {
        outcomes.merge(outcome, 1, Integer::sum);
    }

    private synchronized String outcomes() {
        return outcomes.toString();
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
