package org.gooseberryring.ctl.command;

import java.util.List;
import java.util.function.BiPredicate;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.ctl.admin.ChangeSubmitter;
import org.gooseberryring.protocol.ChangeRequest;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.FleetConfiguration;

/** Options shared by all commands that change the configuration. */
@Parameters(separators = "=")
public final class ChangeOptions {
    @ParametersDelegate
    private AdminOptions admin = new AdminOptions();

    @Parameter(names = "--cause", description = "Reason for the change, recorded in the audit trail")
    private String cause = "";

    @Parameter(
            names = "--actor",
            description = "Person who makes the change; the name of the operator token takes precedence")
    private String actor = System.getProperty("user.name", "");

    @Parameter(
            names = "--change-id",
            description = "Identifier of the change; reuse that of an earlier attempt to retry it safely")
    private String changeId;

    public AdminOptions admin() {
        return admin;
    }

    /**
     * Submits changes and prints the result.
     *
     * @param result text to print on success
     * @param canRebase whether the changes still apply to a newer configuration, so that a conflict is retried
     */
    ExitCode submitAndPrint(
            Context context,
            String result,
            List<Change> changes,
            BiPredicate<FleetConfiguration, FleetConfiguration> canRebase) {
        print(context, submit(context, result, changes, canRebase));
        return ExitCode.DONE;
    }

    /** Submits changes and returns the result without printing it. */
    ChangeResult submit(
            Context context,
            String result,
            List<Change> changes,
            BiPredicate<FleetConfiguration, FleetConfiguration> canRebase) {
        String id = changeId == null ? context.changeIdSupplier().get() : changeId;
        context.console().printError("event=change-submitted changeId=" + id);
        ChangeRequest request = new ChangeRequest(actor, cause, changes);
        long revision = new ChangeSubmitter(admin.client(context)).submit(request, id, canRebase);
        return new ChangeResult(id, revision, result);
    }

    void print(Context context, ChangeResult result) {
        if (admin.isJson()) {
            context.console().printJson(result);
        } else {
            context.console().print(result.result() + " (revision " + result.revision() + ")");
        }
    }

    /** Result of a change as JSON. */
    record ChangeResult(String changeId, long revision, String result) {}
}
