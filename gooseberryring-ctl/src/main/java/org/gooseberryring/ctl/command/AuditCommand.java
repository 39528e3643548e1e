package org.gooseberryring.ctl.command;

import java.time.Instant;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.ctl.admin.ChangeSubmitter;

/** Prints the audit trail. */
@Parameters(commandDescription = "Prints the audit trail of changes, oldest first")
final class AuditCommand implements Command {
    @ParametersDelegate
    private AdminOptions options = new AdminOptions();

    @Parameter(names = "--after", description = "Prints only entries after this revision")
    private long after;

    @Override
    public ExitCode run(Context context) {
        JsonNode response = options.client(context).get("/admin/v1/audit?after=" + after);
        if (options.isJson()) {
            context.console().printJson(response);
            return ExitCode.DONE;
        }
        ChangeSubmitter.auditRecords(response)
                .forEach(entry -> context.console().print(line(entry)));
        return ExitCode.DONE;
    }

    @Override
    public boolean isHelpRequested() {
        return options.isHelpRequested();
    }

    private static String line(JsonNode entry) {
        return "revision=" + entry.path("revision").asLong()
                + " time=" + Instant.ofEpochMilli(entry.path("wallMillis").asLong())
                + " actor=" + entry.path("actor").asText()
                + " accepted=" + entry.path("accepted").asBoolean()
                + " changeId=" + entry.path("changeId").asText()
                + " cause=\"" + entry.path("cause").asText() + '"'
                + " summary=\"" + entry.path("summary").asText() + '"';
    }
}
