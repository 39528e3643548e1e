package org.gooseberryring.platform;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Entry host that runs as a separate process, started with the command of the deploy file on its own address. */
final class ReviewHost implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final List<String> INHERITED = List.of("PATH", "HOME", "JAVA_HOME", "LANG");
    private static final int START_SECONDS = 25;
    private static final int POLL_MILLIS = 50;
    private static final int GRACE_SECONDS = 8;

    private final String name;
    private final String ip;
    private final int frontPort = TestPorts.next();
    private final int readyPort = TestPorts.next();
    private final Path directory;
    private Process process;

    /** Writes the settings of a host, like those of a small deployment, without starting it. */
    ReviewHost(Path directory, String name, String zone, String ip, String storeAddress) throws IOException {
        this.directory = directory;
        this.name = name;
        this.ip = ip;
        Files.writeString(settings(), settingsText(zone, storeAddress));
    }

    String name() {
        return name;
    }

    String ip() {
        return ip;
    }

    int frontPort() {
        return frontPort;
    }

    /** Starts the process; its output goes to a file in the temporary directory. */
    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        Map<String, String> environment = builder.environment();
        environment.keySet().removeIf(each -> !INHERITED.contains(each));
        environment.put("GOOSEBERRYRING_CONFIG", settings().toString());
        File log = directory.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
    }

    /** Waits until the host reports itself ready. */
    void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
        while (readiness() != HttpURLConnection.HTTP_OK) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IOException("host " + name + " did not become ready");
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    /** Returns the status of the readiness check, 0 without a response within a second. */
    int readiness() {
        try {
            URI uri = URI.create("http://" + ip + ":" + readyPort + "/-/ready");
            HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
            connection.setConnectTimeout(1_000);
            connection.setReadTimeout(1_000);
            return connection.getResponseCode();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Stops the process with SIGTERM, then with SIGKILL after {@code grace_s}, and starts it again. */
    void stopAndStart() throws IOException, InterruptedException {
        process.destroy();
        if (!process.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor();
        }
        start();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private Path settings() {
        return directory.resolve(name + ".conf");
    }

    private String settingsText(String zone, String storeAddress) {
        return """
                node_name=%s
                role=entry
                machine_class=edge
                serves=edge
                ip=%s
                zone=%s
                region=r
                zones.z-a=r
                zones.z-b=r
                zones.z-c=r
                listen.front=%s:%d
                listen.ready=%s:%d
                internal_ports=%d,%d
                bootstrap=true
                limits.cpu_share=0.75
                limits.cores=1
                limits.memory_mb=430
                limits.max_fds=4100
                heartbeat_ms=1200
                bounds.contact_ms=3000
                bounds.ack_ms=4000
                bounds.drain_ms=2000
                bounds.grace_s=8
                bounds.config_apply_ms=2000
                bounds.evacuate_ms=5000
                bounds.retry_budget_ratio=0.2
                bounds.budget_window_s=10
                bounds.budget_extra=54
                bounds.quota_window_s=8
                bounds.lease_ms=3000
                platform.address=%s
                platform.form=objects
                platform.writes_per_s=400
                platform.reads_per_s=2000
                platform.history_s=20
                platform.value_bytes=1048576
                """.formatted(
                        name,
                        ip,
                        zone,
                        ip,
                        frontPort,
                        ip,
                        readyPort,
                        TestPorts.next(),
                        TestPorts.next(),
                        storeAddress);
    }
}
