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

/** Options that every command with a change has. */
@Parameters(separators = "=")
public final class ChangeOptions {
    @ParametersDelegate
    private AdminOptions admin = new AdminOptions();

    @Parameter(names = "--cause", description = "Reason for the change, kept in the audit trail")
    private String cause = "";

    @Parameter(names = "--actor", description = "Person who makes the change; the operator token takes precedence")
    private String actor = System.getProperty("user.name", "");

    @Parameter(
            names = "--change-id",
            description = "Identifier of the change; give that of an earlier attempt to repeat it safely")
    private String changeId;

    public AdminOptions admin() {
        return admin;
    }

    /** Submits changes and prints the result. */
    ExitCode submit(
            Context context,
            String result,
            List<Change> changes,
            BiPredicate<FleetConfiguration, FleetConfiguration> sameBasis) {
        print(context, change(context, result, changes, sameBasis));
        return ExitCode.DONE;
    }

    /** Submits changes and returns the result. */
    Done change(
            Context context,
            String result,
            List<Change> changes,
            BiPredicate<FleetConfiguration, FleetConfiguration> sameBasis) {
        String id = changeId == null ? context.changeIds().get() : changeId;
        context.console().error("event=change-submitted changeId=" + id);
        ChangeRequest request = new ChangeRequest(actor, cause, changes);
        long revision = new ChangeSubmitter(admin.client(context)).submit(request, id, sameBasis);
        return new Done(id, revision, result);
    }

    void print(Context context, Done done) {
        if (admin.json()) {
            context.console().json(done);
        } else {
            context.console().print(done.result() + " (revision " + done.revision() + ")");
        }
    }

    /** Result of a change as JSON. */
    record Done(String changeId, long revision, String result) {}
}
