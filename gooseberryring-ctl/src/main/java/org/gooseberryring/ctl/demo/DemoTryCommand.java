package org.gooseberryring.ctl.demo;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.ctl.admin.AdminResponse;
import org.gooseberryring.ctl.admin.NoResponseException;
import org.gooseberryring.ctl.command.Command;
import org.gooseberryring.ctl.command.Context;
import org.gooseberryring.protocol.Json;

/** Sends the sample requests of the demonstration and prints the answers and the lines to repeat them. */
@Parameters(hidden = true, commandDescription = "Sends the sample requests of the demonstration")
public final class DemoTryCommand implements Command {
    private static final String MODEL_REQUEST = "{\"model\":\"" + DemoFleet.MODEL + ":" + DemoFleet.ADAPTER
            + "\",\"stream\":true,\"max_tokens\":6,\"messages\":"
            + "[{\"role\":\"user\",\"content\":\"Confirm the reorder of cheque book 17\"}]}";
    private static final String SERVICE_REQUEST = "{\"account\":\"17\",\"books\":1}";
    private static final String JSON = "application/json";
    private static final long CALL_MILLIS = 30_000;
    private static final long PAUSE_MILLIS = 200;
    // A load of the demonstration's weight store takes half a second, so this allows for many of them.
    private static final int ATTEMPTS = 150;
    private static final int SERVER_ERROR = 500;
    private static final int NOT_FOUND = 404;

    @Parameter(names = "--dir", required = true, description = "Directory of the files")
    private String directory;

    @Parameter(names = "--help", help = true, description = "Prints the usage")
    private boolean help;

    @Override
    public ExitCode run(Context context) {
        DemoFiles files = new DemoFiles(Path.of(directory));
        List<String> callers = files.lines(DemoFiles.CALLER_ADDRESSES);
        String key = files.firstLine(DemoFiles.KEY);
        String model = "http://" + callers.get(0) + "/v1/chat/completions";
        String service = "http://" + callers.get(0) + "/services/" + DemoFleet.SERVICE + "/submit";
        context.console().print("\nA streamed request to a model through the host of failure domain a:");
        AdminResponse answer = awaitOk(context, model, Map.of("Authorization", "Bearer " + key), MODEL_REQUEST);
        context.console().print(text(answer));
        String idempotencyKey = "demo-" + UUID.randomUUID();
        Map<String, String> headers = Map.of("Authorization", "Bearer " + key, "Idempotency-Key", idempotencyKey);
        context.console().print("A reorder through the host of failure domain a:");
        AdminResponse first = awaitOk(context, service, headers, SERVICE_REQUEST);
        context.console().print("status " + first.status() + " " + text(first));
        context.console().print("The same reorder again, with the same Idempotency-Key, through failure domain c:");
        AdminResponse again = call(context, service.replace(callers.get(0), callers.get(2)), headers, SERVICE_REQUEST);
        context.console().print("status " + again.status() + " " + text(again));
        int runs = runs(context, files, idempotencyKey);
        context.console().print("By their own record, the services ran it " + runs + " time(s).\n");
        printLines(context, files, model, service);
        return runs == 1 ? ExitCode.DONE : ExitCode.REFUSED;
    }

    @Override
    public boolean help() {
        return help;
    }

    private AdminResponse awaitOk(Context context, String uri, Map<String, String> headers, String body) {
        String failure = "";
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            try {
                AdminResponse answer = call(context, uri, headers, body);
                if (answer.ok()) {
                    return answer;
                }
                failure = "status " + answer.status() + " " + text(answer);
                if (answer.status() < SERVER_ERROR && answer.status() != NOT_FOUND) {
                    break;
                }
            } catch (NoResponseException e) {
                failure = e.getMessage();
            }
            context.pause().millis(PAUSE_MILLIS);
        }
        throw new CtlException(ExitCode.REFUSED, "No success from " + uri + ": " + failure);
    }

    private static AdminResponse call(Context context, String uri, Map<String, String> headers, String body) {
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.put("Content-Type", JSON);
        return context.calls().call("POST", URI.create(uri), all, body.getBytes(StandardCharsets.UTF_8), CALL_MILLIS);
    }

    /** Returns how often the service stand-ins ran requests with an idempotency key. */
    private static int runs(Context context, DemoFiles files, String idempotencyKey) {
        int runs = 0;
        for (String address : files.lines(DemoFiles.SERVICE_ADDRESSES)) {
            URI uri = URI.create("http://" + address + "/standin/record");
            AdminResponse record = context.calls().call("GET", uri, Map.of(), null, CALL_MILLIS);
            runs += Json.readTree(record.body())
                    .path("byIdempotencyKey")
                    .path(idempotencyKey)
                    .asInt();
        }
        return runs;
    }

    private static void printLines(Context context, DemoFiles files, String model, String service) {
        String auth = "-H \"Authorization: Bearer $(cat $DEMO/" + DemoFiles.KEY + ")\" -H 'Content-Type: " + JSON + "'";
        context.console().print("To try it (DEMO is the directory printed above):");
        context.console().print("  curl -N " + auth + " -d '" + MODEL_REQUEST + "' " + model);
        context.console()
                .print("  curl " + auth + " -H 'Idempotency-Key: my-key' -d '" + SERVICE_REQUEST + "' " + service);
        context.console()
                .print("  bin/gooseberryctl status --admin http://" + files.firstLine(DemoFiles.ADMIN_ADDRESSES)
                        + " --token-file $DEMO/" + DemoFiles.OPERATOR_TOKEN);
    }

    private static String text(AdminResponse answer) {
        return new String(answer.body(), StandardCharsets.UTF_8).strip();
    }
}
