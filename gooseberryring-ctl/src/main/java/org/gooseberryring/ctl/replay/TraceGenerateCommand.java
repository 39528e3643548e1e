package org.gooseberryring.ctl.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.ctl.command.Command;
import org.gooseberryring.ctl.command.Context;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.Change;

/** Generates a trace and optionally the configuration that it requires. */
@Parameters(separators = "=", commandDescription = "Generates a trace in JSON Lines from a seed")
public final class TraceGenerateCommand implements Command {
    @Parameter(names = "--profile", required = true, description = "inkingi or wattle")
    private TraceProfile profile;

    @Parameter(names = "--seed", required = true, description = "Seed; the same seed produces the same trace")
    private long seed;

    @Parameter(names = "--seconds", description = "Length of the trace in seconds")
    private int seconds = 60;

    @Parameter(names = "--requests-per-second", description = "Mean requests per second of all organisations")
    private double requestsPerSecond = 20;

    @Parameter(names = "--domain", description = "Failure domain that leaves and returns during the trace")
    private String domain = "b";

    @Parameter(names = "--out", description = "File for the trace; standard output by default")
    private String out;

    @Parameter(
            names = "--changes",
            description = "File for the organisations and models, as input of the command apply")
    private String changes;

    @Parameter(names = "--sheet", description = "File for a sheet with all models and adapters")
    private String sheet;

    @Parameter(names = "--replicas", description = "Replicas in each row of the sheet")
    private int replicas = 2;

    @Parameter(names = "--help", help = true, description = "Prints the usage")
    private boolean help;

    @Override
    public ExitCode run(Context context) {
        if (seconds < 1 || requestsPerSecond <= 0 || replicas < 1) {
            throw new CtlException(
                    ExitCode.BAD_INPUT, "--seconds, --requests-per-second and --replicas must be positive");
        }
        List<TraceLine> lines = new TraceGenerator(profile, seed, seconds, requestsPerSecond).generate(domain);
        String text = lines.stream().map(Json::writeString).collect(Collectors.joining("\n"));
        if (out == null) {
            context.console().print(text);
        } else {
            write(out, text + "\n");
        }
        if (changes != null) {
            write(
                    changes,
                    Json.writeString(
                            TraceFleet.changes(profile, requestsPerSecond).toArray(Change[]::new)));
        }
        if (sheet != null) {
            write(sheet, TraceFleet.sheet(profile, replicas));
        }
        return ExitCode.DONE;
    }

    @Override
    public boolean isHelpRequested() {
        return help;
    }

    private static void write(String file, String text) {
        try {
            Files.writeString(Path.of(file), text);
        } catch (IOException e) {
            throw new CtlException(ExitCode.BAD_INPUT, "Cannot write " + file);
        }
    }
}
