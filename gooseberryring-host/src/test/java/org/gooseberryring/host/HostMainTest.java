package org.gooseberryring.host;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.gooseberryring.protocol.HostEntry;
import org.gooseberryring.standins.EngineStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

class HostMainTest {
    private static final Pattern STARTED =
            Pattern.compile("event=host-started .*callers=/(\\S+) admin=/(\\S+) peers=/(\\S+) relay=/(\\S+)");
    private static final int TERMINATED = 143;

    @TempDir
    private Path directory;

    /** Guards against a shutdown that truncates a response or accepts a request that it does not complete. */
    @Test
    void terminationCompletesResponseInFlight() throws Exception {
        try (TestFleet fleet = new TestFleet(directory)) {
            EngineStandIn engine = fleet.engine("e1");
            fleet.configure(fleet.host("h1", "d1", "{}"));
            Path settings = fleet.settings("h2", "d1", "{\"timeouts\":{\"drainNoticeMillis\":500}}");
            Process process = start(settings);
            try {
                // The reader is not closed here, because closing waits for the thread that reads the rest of the log.
                BufferedReader log = process.errorReader();
                Matcher addresses = awaitStart(log);
                CompletableFuture.runAsync(() -> log.lines().forEach(line -> {}));
                fleet.platform().putHost(new HostEntry("h2", "d1", addresses.group(3), addresses.group(4), "live"));
                TestFleet.await(() -> status(fleet, addresses.group(2), "/readyz") == 200);
                int startedBefore = engine.record().started().size();
                CompletableFuture<HttpResponse<String>> stream =
                        fleet.client().sendAsync(completion(addresses.group(1)), HttpResponse.BodyHandlers.ofString());
                TestFleet.await(() -> engine.record().started().size() > startedBefore);

                process.destroy();

                TestFleet.await(() -> status(fleet, addresses.group(2), "/readyz") != 200);
                assertThat(stream.get(60, TimeUnit.SECONDS).body().strip()).endsWith("data: [DONE]");
                assertThat(process.waitFor(60, TimeUnit.SECONDS)).isTrue();
                assertThat(process.exitValue()).isEqualTo(TERMINATED);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Guards against a start with invalid settings and against a stack trace instead of the path of the fault. */
    @Test
    void invalidSettingsAreReportedByPath() throws Exception {
        Path file = directory.resolve("bad.json");
        Files.writeString(file, "{\"hostId\":\"h\",\"callerAddress\":\"localhost\"}");
        ByteArrayOutputStream errors = new ByteArrayOutputStream();

        int code = HostMain.runOnce(
                new String[] {"--settings", file.toString(), "--check-settings"}, System.out, new PrintStream(errors));

        String text = errors.toString(StandardCharsets.UTF_8);
        assertThat(code).isEqualTo(2);
        assertThat(text).contains("callerAddress: must be an IP address and a port, as 10.0.0.1:8080");
        assertThat(text).contains("failureDomain");
        assertThat(text).doesNotContain("Exception");
    }

    private static Process start(Path settings) throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        return new ProcessBuilder(
                        java,
                        "-Xmx128m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        HostMain.class.getName(),
                        "--settings",
                        settings.toString())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    private static Matcher awaitStart(BufferedReader log) throws Exception {
        String line = log.readLine();
        while (line != null) {
            Matcher matcher = STARTED.matcher(line);
            if (matcher.find()) {
                return matcher;
            }
            line = log.readLine();
        }
        throw new AssertionError("the host process ended before it logged its start");
    }

    private static HttpRequest completion(String callers) {
        String body = "{\"model\":\"m\",\"prompt\":\"long\",\"max_tokens\":200,\"stream\":true}";
        return HttpRequest.newBuilder(URI.create("http://" + callers + "/v1/completions"))
                .header("Authorization", "Bearer " + TestFleet.KEY)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private static int status(TestFleet fleet, String address, String path) {
        try {
            return fleet.send(HttpRequest.newBuilder(URI.create("http://" + address + path)))
                    .statusCode();
        } catch (Exception e) {
            // The administration listener closes last, after the drain.
            return 0;
        }
    }
}
