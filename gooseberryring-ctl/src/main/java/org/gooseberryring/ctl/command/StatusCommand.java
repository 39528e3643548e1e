package org.gooseberryring.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.ctl.admin.AdminClient;

/** Shows the state of a host and of the fleet as it sees it. */
@Parameters(commandDescription = "Shows the state of a host and of the fleet as it sees it")
final class StatusCommand implements Command {
    private static final String STATUS = "/admin/v1/status";
    private static final String CLEAR = "\u001b[H\u001b[2J";
    private static final long INTERVAL_MILLIS = 2_000;

    @ParametersDelegate
    private AdminOptions options = new AdminOptions();

    @Parameter(names = "--watch", description = "Renews the display until interrupted")
    private boolean watch;

    @Override
    public ExitCode run(Context context) {
        AdminClient client = options.client(context);
        if (!watch) {
            print(context, client.get(STATUS), "");
            return ExitCode.DONE;
        }
        while (!Thread.currentThread().isInterrupted()) {
            try {
                print(context, client.get(STATUS), options.json() ? "" : CLEAR);
            } catch (CtlException e) {
                if (e.exitCode() != ExitCode.UNREACHABLE) {
                    throw e;
                }
                context.console().error(e.getMessage());
            }
            context.pause().millis(INTERVAL_MILLIS);
        }
        return ExitCode.DONE;
    }

    @Override
    public boolean help() {
        return options.help();
    }

    private void print(Context context, JsonNode status, String before) {
        if (options.json()) {
            context.console().json(status);
        } else {
            context.console().print(before + JsonTable.render(status));
        }
    }
}
