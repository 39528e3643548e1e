package org.gooseberryring.standins;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.gooseberryring.state.Artifact;

/** Runs one stand-in as a separate process until the process is terminated. */
public final class StandInMain {
    private static final int EXIT_USAGE_ERROR = 2;
    private static final Pattern PRELOAD = Pattern.compile("([^:@=]+)(?::([^:@=]+))?@([^:@=]+)=([0-9]{1,18})");

    private StandInMain() {}

    /** Starts the stand-in selected by the arguments and prints its address. */
    public static void main(String[] args) throws InterruptedException {
        PlatformCommand platform = new PlatformCommand();
        EngineCommand engine = new EngineCommand();
        ServiceCommand service = new ServiceCommand();
        JCommander commander = JCommander.newBuilder()
                .programName("gooseberryring-standin")
                .addCommand("platform", platform)
                .addCommand("engine", engine)
                .addCommand("service", service)
                .build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE_ERROR);
        }
        String command = commander.getParsedCommand();
        if (command == null) {
            commander.usage();
            System.exit(EXIT_USAGE_ERROR);
            return;
        }
        try {
            String startedFields =
                    switch (command) {
                        case "platform" -> platform.start();
                        case "engine" -> engine.start();
                        default -> service.start();
                    };
            System.out.println("event=started kind=" + command + " " + startedFields);
            System.out.flush();
        } catch (ParameterException | UncheckedIOException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE_ERROR);
        }
        new CountDownLatch(1).await();
    }

    /** Options of the platform stand-in. */
    @Parameters(commandDescription = "Runs the stand-in of the platform: object store and host list")
    private static final class PlatformCommand {
        @Parameter(names = "--port", description = "Port on 127.0.0.1, 0 for a free one")
        private int port;

        String start() {
            return "address=" + new PlatformStandIn(port).start().address();
        }
    }

    /** Options of the engine stand-in. */
    @Parameters(commandDescription = "Runs the stand-in of a model engine")
    private static final class EngineCommand {
        @Parameter(names = "--id", required = true, description = "Identifier of the endpoint")
        private String id;

        @Parameter(names = "--port", description = "Port on 127.0.0.1, 0 for a free one")
        private int port;

        @Parameter(names = "--memory-bytes", description = "Accelerator memory in bytes")
        private long memoryBytes = 80_000_000_000L;

        @Parameter(names = "--concurrency", description = "Maximum number of concurrent requests")
        private int concurrency = 16;

        @Parameter(names = "--first-token-millis", description = "Time to the first token in milliseconds")
        private long firstTokenMillis = 20;

        @Parameter(names = "--token-millis", description = "Time between tokens in milliseconds")
        private long tokenMillis = 5;

        @Parameter(names = "--report-millis", description = "Interval of the load report in milliseconds")
        private long reportMillis = 200;

        @Parameter(names = "--ignore-fencing", description = "Accepts orders with an old fencing number")
        private boolean ignoreFencing;

        @Parameter(
                names = "--loads-per-second",
                description = "Model loads per second that its weight store serves at full speed")
        private double loadsPerSecond = 1.4;

        @Parameter(
                names = "--load-concurrency",
                description = "Concurrent model loads that its weight store serves at full speed")
        private int loadConcurrency = 6;

        @Parameter(names = "--preload", description = "Artifact to load at startup, as model[:adapter]@version=bytes")
        private List<String> preload = new ArrayList<>();

        String start() {
            EngineSettings settings = new EngineSettings(
                    id, port, memoryBytes, concurrency, !ignoreFencing, firstTokenMillis, tokenMillis, reportMillis);
            WeightStoreStandIn weights = new WeightStoreStandIn(loadsPerSecond, loadConcurrency, 7, 50);
            EngineStandIn engine = new EngineStandIn(settings, weights, System.currentTimeMillis());
            preload.forEach(entry -> preload(engine, entry));
            engine.start();
            return "id=" + id + " address=" + engine.address();
        }
    }

    private static void preload(EngineStandIn engine, String entry) {
        Matcher matcher = PRELOAD.matcher(entry);
        if (!matcher.matches()) {
            throw new ParameterException(
                    "Option --preload must have the form model[:adapter]@version=bytes, but was " + entry);
        }
        Artifact artifact = new Artifact(matcher.group(1), matcher.group(2), matcher.group(3));
        engine.preload(artifact, Long.parseLong(matcher.group(4)));
    }

    /** Options of the service stand-in. */
    @Parameters(commandDescription = "Runs the stand-in of a plain service")
    private static final class ServiceCommand {
        @Parameter(names = "--id", required = true, description = "Identifier of the endpoint")
        private String id;

        @Parameter(names = "--port", description = "Port on 127.0.0.1, 0 for a free one")
        private int port;

        String start() {
            return "id=" + id + " address="
                    + new ServiceStandIn(id, port).start().address();
        }
    }
}
