package org.gooseberryring.ctl.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.core.type.TypeReference;
import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.ctl.admin.AdminClient;
import org.gooseberryring.ctl.command.AdminOptions;
import org.gooseberryring.ctl.command.Command;
import org.gooseberryring.ctl.command.Context;
import org.gooseberryring.ctl.command.InputFile;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.transport.http.HttpWorker;

/** Replays a trace against live hosts and reports the results as callers would see them. */
@Parameters(
        separators = "=",
        commandDescription = "Replays a trace against live hosts and prints a report as callers would see it")
public final class ReplayCommand implements Command {
    private static final int IO_THREADS = 4;

    @Parameter(
            names = "--host",
            required = true,
            description = "Caller address of a host, ip:port; repeat it for more hosts")
    private List<String> hosts = new ArrayList<>();

    @Parameter(
            names = "--organisations",
            required = true,
            description = "JSON file that maps organisations to key, rateTokensPerSecond and burstTokens")
    private String organisationsFile;

    @Parameter(names = "--speed", description = "Factor by which the trace is sent faster than recorded")
    private double speed = 1;

    @Parameter(names = "--max-in-flight", description = "Maximum number of requests in flight")
    private int maxInFlight = 2_000;

    @Parameter(names = "--first-token-millis", description = "Objective for the time to the first token")
    private double firstTokenMillis = 1_500;

    @Parameter(names = "--token-millis", description = "Objective for the mean time between tokens")
    private double tokenMillis = 33;

    @Parameter(
            names = "--weights",
            description = "JSON file that maps users to the weights of the measures in their mean")
    private String weightsFile;

    @Parameter(names = "--html", description = "File for an HTML report with plots")
    private String html;

    @ParametersDelegate
    private AdminOptions admin = new AdminOptions();

    @Parameter(description = "TRACE", required = true)
    private String trace;

    @Override
    public ExitCode run(Context context) {
        if (speed <= 0 || maxInFlight < 1) {
            throw new CtlException(ExitCode.BAD_INPUT, "--speed and --max-in-flight must be positive");
        }
        List<TraceLine> lines = TraceReader.read(trace, InputFile.read(trace));
        Map<String, OrganisationAccess> organisations = organisations();
        checkOrganisations(lines, organisations);
        Map<String, MeasureWeights> weights = weights();
        ReplayReport report = replay(context, lines, organisations, weights);
        if (html != null) {
            writePage(report);
        }
        if (admin.isJson()) {
            context.console().printJson(report);
        } else {
            context.console().print(ReportText.render(report));
        }
        return ExitCode.DONE;
    }

    @Override
    public boolean isHelpRequested() {
        return admin.isHelpRequested();
    }

    private ReplayReport replay(
            Context context,
            List<TraceLine> lines,
            Map<String, OrganisationAccess> organisations,
            Map<String, MeasureWeights> weights) {
        AdminClient client = admin.hasAddresses() ? admin.client(context) : null;
        try (HttpWorker worker = HttpWorker.start("replay", IO_THREADS, 1);
                MarkActions marks = new MarkActions(context, client)) {
            Replay replay = new Replay(
                    new HttpRequestSender(hosts, worker, maxInFlight),
                    organisations,
                    () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                    context.sleeper(),
                    maxInFlight);
            List<Outcome> outcomes = replay.run(lines, speed, marks::accept);
            return new ReportBuilder(organisations, new Outcome.Objective(firstTokenMillis, tokenMillis), weights)
                    .build(outcomes, lines, speed, replay.sentLate());
        }
    }

    private Map<String, OrganisationAccess> organisations() {
        try {
            return Json.mapper().readValue(InputFile.read(organisationsFile), new TypeReference<>() {});
        } catch (IOException e) {
            throw new CtlException(
                    ExitCode.BAD_INPUT,
                    organisationsFile
                            + " is not a JSON object that maps organisations to key, rateTokensPerSecond and burstTokens");
        }
    }

    private Map<String, MeasureWeights> weights() {
        if (weightsFile == null) {
            return Map.of();
        }
        try {
            return Json.mapper().readValue(InputFile.read(weightsFile), new TypeReference<>() {});
        } catch (IOException e) {
            throw new CtlException(
                    ExitCode.BAD_INPUT,
                    weightsFile + " is not a JSON object that maps users to attainment, worstOrganisation,"
                            + " withinRateRefusals and domainMove");
        }
    }

    private static void checkOrganisations(List<TraceLine> lines, Map<String, OrganisationAccess> organisations) {
        for (TraceLine line : lines) {
            if (line.request() && !organisations.containsKey(line.organisation())) {
                throw new CtlException(ExitCode.BAD_INPUT, "No key is given for organisation " + line.organisation());
            }
        }
    }

    private void writePage(ReplayReport report) {
        try {
            Files.writeString(Path.of(html), ReportPage.render(report));
        } catch (IOException e) {
            throw new CtlException(ExitCode.BAD_INPUT, "Cannot write " + html);
        }
    }
}
