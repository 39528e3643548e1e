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

/** Replays a trace at live hosts and reports what the callers would have seen. */
@Parameters(separators = "=", commandDescription = "Replays a trace at live hosts and prints what callers would see")
public final class ReplayCommand implements Command {
    private static final int IO_THREADS = 4;

    @Parameter(names = "--host", required = true, description = "Caller address of a host, ip:port; repeat it for more")
    private List<String> hosts = new ArrayList<>();

    @Parameter(
            names = "--organisations",
            required = true,
            description = "JSON file from organisation to key, rateTokensPerSecond and burstTokens")
    private String organisationsFile;

    @Parameter(names = "--speed", description = "Factor by which the trace is sent faster than recorded")
    private double speed = 1;

    @Parameter(names = "--max-in-flight", description = "Requests in flight at once")
    private int maxInFlight = 2_000;

    @Parameter(names = "--first-token-millis", description = "Objective for the first token")
    private double firstTokenMillis = 1_500;

    @Parameter(names = "--token-millis", description = "Objective for the mean time between tokens")
    private double tokenMillis = 33;

    @Parameter(names = "--weights", description = "JSON file from user to the weights of the measures in their mean")
    private String weightsFile;

    @Parameter(names = "--html", description = "File for a page with plots")
    private String html;

    @ParametersDelegate
    private AdminOptions admin = new AdminOptions();

    @Parameter(description = "TRACE", required = true)
    private String trace;

    @Override
    public ExitCode run(Context context) {
        if (speed <= 0 || maxInFlight < 1) {
            throw new CtlException(ExitCode.BAD_INPUT, "Speed and requests in flight must be positive");
        }
        List<TraceLine> lines = TraceReader.read(trace, InputFile.read(trace));
        Map<String, OrganisationAccess> organisations = organisations();
        checkOrganisations(lines, organisations);
        Map<String, MeasureWeights> weights = weights();
        ReplayReport report = replay(context, lines, organisations, weights);
        if (html != null) {
            writePage(report);
        }
        if (admin.json()) {
            context.console().json(report);
        } else {
            context.console().print(ReportText.render(report));
        }
        return ExitCode.DONE;
    }

    @Override
    public boolean help() {
        return admin.help();
    }

    private ReplayReport replay(
            Context context,
            List<TraceLine> lines,
            Map<String, OrganisationAccess> organisations,
            Map<String, MeasureWeights> weights) {
        AdminClient client = admin.given() ? admin.client(context) : null;
        try (HttpWorker worker = HttpWorker.start("replay", IO_THREADS, 1);
                MarkActions marks = new MarkActions(context, client)) {
            Replay replay = new Replay(
                    new HttpRequestSender(hosts, worker, maxInFlight),
                    organisations,
                    () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                    context.pause(),
                    maxInFlight);
            List<Outcome> outcomes = replay.run(lines, speed, marks::accept);
            return new ReportBuilder(organisations, new Outcome.Objective(firstTokenMillis, tokenMillis), weights)
                    .build(outcomes, lines, speed, replay.late());
        }
    }

    private Map<String, OrganisationAccess> organisations() {
        try {
            return Json.mapper().readValue(InputFile.read(organisationsFile), new TypeReference<>() {});
        } catch (IOException e) {
            throw new CtlException(
                    ExitCode.BAD_INPUT, organisationsFile + " is not a JSON object from organisation to its access");
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
                    weightsFile + " is not a JSON object from user to attainment, worstOrganisation,"
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
