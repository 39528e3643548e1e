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

/** Sends the sample requests of the demonstration and prints the responses and the commands to repeat them. */
@Parameters(hidden = true, commandDescription = "Sends the sample requests of the demonstration")
public final class DemoTryCommand implements Command {
    private static final String MODEL_REQUEST = "{\"model\":\"" + DemoFleet.MODEL + ":" + DemoFleet.ADAPTER
            + "\",\"stream\":true,\"max_tokens\":6,\"messages\":"
            + "[{\"role\":\"user\",\"content\":\"Confirm the reorder of cheque book 17\"}]}";
    private static final String SERVICE_REQUEST = "{\"account\":\"17\",\"books\":1}";
    private static final String JSON = "application/json";
    private static final long CALL_TIMEOUT_MILLIS = 30_000;
    private static final long RETRY_INTERVAL_MILLIS = 200;
    // One load from the weight store of the demonstration takes half a second; the attempts cover many loads.
    private static final int MAX_ATTEMPTS = 150;
    private static final int FIRST_SERVER_ERROR = 500;
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
        AdminResponse response = awaitSuccess(context, model, Map.of("Authorization", "Bearer " + key), MODEL_REQUEST);
        context.console().print(text(response));
        String idempotencyKey = "demo-" + UUID.randomUUID();
        Map<String, String> headers = Map.of("Authorization", "Bearer " + key, "Idempotency-Key", idempotencyKey);
        context.console().print("A reorder through the host of failure domain a:");
        AdminResponse first = awaitSuccess(context, service, headers, SERVICE_REQUEST);
        context.console().print("status " + first.status() + " " + text(first));
        context.console().print("The same reorder again, with the same Idempotency-Key, through failure domain c:");
        AdminResponse repeated =
                call(context, service.replace(callers.get(0), callers.get(2)), headers, SERVICE_REQUEST);
        context.console().print("status " + repeated.status() + " " + text(repeated));
        int runs = countRuns(context, files, idempotencyKey);
        context.console().print("According to their records, the services ran it " + runs + " time(s).\n");
        printCommands(context, files, model, service);
        return runs == 1 ? ExitCode.DONE : ExitCode.REFUSED;
    }

    @Override
    public boolean isHelpRequested() {
        return help;
    }

    private AdminResponse awaitSuccess(Context context, String uri, Map<String, String> headers, String body) {
        String failure = "";
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try {
                AdminResponse response = call(context, uri, headers, body);
                if (response.isSuccessful()) {
                    return response;
                }
                failure = "status " + response.status() + " " + text(response);
                if (response.status() < FIRST_SERVER_ERROR && response.status() != NOT_FOUND) {
                    break;
                }
            } catch (NoResponseException e) {
                failure = e.getMessage();
            }
            context.sleeper().sleep(RETRY_INTERVAL_MILLIS);
        }
        throw new CtlException(ExitCode.REFUSED, "No successful response from " + uri + ": " + failure);
    }

    private static AdminResponse call(Context context, String uri, Map<String, String> headers, String body) {
        Map<String, String> allHeaders = new LinkedHashMap<>(headers);
        allHeaders.put("Content-Type", JSON);
        return context.calls()
                .call("POST", URI.create(uri), allHeaders, body.getBytes(StandardCharsets.UTF_8), CALL_TIMEOUT_MILLIS);
    }

    /** Returns how often the service stand-ins ran requests with an idempotency key. */
    private static int countRuns(Context context, DemoFiles files, String idempotencyKey) {
        int runs = 0;
        for (String address : files.lines(DemoFiles.SERVICE_ADDRESSES)) {
            URI uri = URI.create("http://" + address + "/standin/record");
            AdminResponse record = context.calls().call("GET", uri, Map.of(), null, CALL_TIMEOUT_MILLIS);
            runs += Json.readTree(record.body())
                    .path("byIdempotencyKey")
                    .path(idempotencyKey)
                    .asInt();
        }
        return runs;
    }

    private static void printCommands(Context context, DemoFiles files, String model, String service) {
        String auth = "-H \"Authorization: Bearer $(cat $DEMO/" + DemoFiles.KEY + ")\" -H 'Content-Type: " + JSON + "'";
        context.console().print("To repeat the requests (DEMO is the directory printed above):");
        context.console().print("  curl -N " + auth + " -d '" + MODEL_REQUEST + "' " + model);
        context.console()
                .print("  curl " + auth + " -H 'Idempotency-Key: my-key' -d '" + SERVICE_REQUEST + "' " + service);
        context.console()
                .print("  bin/gooseberryctl status --admin http://" + files.firstLine(DemoFiles.ADMIN_ADDRESSES)
                        + " --token-file $DEMO/" + DemoFiles.OPERATOR_TOKEN);
    }

    private static String text(AdminResponse response) {
        return new String(response.body(), StandardCharsets.UTF_8).strip();
    }
}
