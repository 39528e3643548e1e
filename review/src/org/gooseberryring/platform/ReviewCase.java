package org.gooseberryring.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** Surroundings of a case: a store, runners, and hosts as separate processes; all of them end with the case. */
final class ReviewCase implements AutoCloseable {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    private static final int FIRST_OCTET = 2;
    private static final int LAST_OCTET = 250;

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final long startNanos = System.nanoTime();
    private final Path record;
    private final Path directory;
    private final StoreStandIn store = new StoreStandIn();
    private final List<ReviewHost> hosts = new ArrayList<>();
    private final List<EndpointStandIn> runners = new CopyOnWriteArrayList<>();

    /** Steps of a case. */
    @FunctionalInterface
    interface Steps {
        /** Runs the case; returns whether the rule was broken. */
        boolean run(ReviewCase surroundings) throws Exception;
    }

    private ReviewCase(Path record) throws IOException {
        this.record = record;
        this.directory = Files.createTempDirectory("review");
        Files.writeString(record, "");
    }

    /** Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void main(String recordFile, Steps steps) {
        int status = NOT_RUN;
        try (ReviewCase surroundings = new ReviewCase(Path.of(recordFile))) {
            Thread cleanup = new Thread(surroundings::closeHosts);
            Runtime.getRuntime().addShutdownHook(cleanup);
            surroundings.note("trouble=" + surroundings.trouble);
            try {
                status = steps.run(surroundings) ? BROKEN : HELD;
            } catch (Exception | Error e) {
                surroundings.note("the case could not run: " + e);
            }
            surroundings.note("exit status " + status);
        } catch (IOException e) {
            System.err.println("the case could not run: " + e.getMessage());
        }
        System.exit(status);
    }

    /** Returns whether the disruption is to be brought about. */
    boolean trouble() {
        return trouble;
    }

    StoreStandIn store() {
        return store;
    }

    /** Writes a line, with the seconds since the start of the case, to the record and to standard output. */
    synchronized void note(String line) {
        String text = String.format("%8.3f %s%n", seconds(), line);
        System.out.print(text);
        try (OutputStream out = Files.newOutputStream(record, StandardOpenOption.APPEND)) {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /** Starts a runner that answers health checks and passes all other requests to the responder, and registers it. */
    EndpointStandIn runner(String id, String service, int slots, EndpointStandIn.Responder responder) {
        EndpointStandIn runner = standIn(id, responder);
        register(id, service, runner.address(), slots, "v1");
        return runner;
    }

    /** Starts a runner without an entry in the store. */
    EndpointStandIn standIn(String id, EndpointStandIn.Responder responder) {
        EndpointStandIn runner =
                new EndpointStandIn((request, out) -> request.line().startsWith("GET /healthz")
                        ? health(id, out)
                        : responder.respond(request, out));
        runners.add(runner);
        return runner;
    }

    /** Writes the entry of a runner that starts now. */
    void register(String id, String service, String address, int slots, String version) {
        store.put(
                "servers",
                id,
                ("{\"born\":%d,\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z-a\",\"version\":\"%s\",\"slots\":%d,"
                                + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"call_seq\":0,\"models\":[]}")
                        .formatted(System.currentTimeMillis(), service, address, version, slots));
    }

    /** Starts hosts in the failure domain of the runners and waits until they are ready. */
    List<ReviewHost> startHosts(int count) throws IOException, InterruptedException {
        for (int i = 1; i <= count; i++) {
            ReviewHost host = new ReviewHost(directory, "edge-z-a-" + i, "z-a", freeLoopback(), store.address());
            hosts.add(host);
            host.start();
        }
        for (ReviewHost host : hosts) {
            host.awaitReady();
            note("host " + host.name() + " is ready at " + host.ip() + ":" + host.frontPort());
        }
        return hosts;
    }

    /** Returns a loopback address of its own, because the metrics port is the same on all hosts. */
    private static String freeLoopback() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return "127." + random.nextInt(FIRST_OCTET, LAST_OCTET) + "." + random.nextInt(FIRST_OCTET, LAST_OCTET) + "."
                + random.nextInt(FIRST_OCTET, LAST_OCTET);
    }

    private static boolean health(String id, OutputStream out) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\nX-Gooseberryring-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return true;
    }

    private void closeHosts() {
        hosts.forEach(ReviewHost::close);
    }

    @Override
    public void close() throws IOException {
        closeHosts();
        for (EndpointStandIn runner : runners) {
            runner.close();
        }
        store.close();
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
