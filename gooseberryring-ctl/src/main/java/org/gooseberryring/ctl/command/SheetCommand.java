package org.gooseberryring.ctl.command;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.ctl.admin.HttpAnswer;
import org.gooseberryring.ctl.admin.Problems;
import org.gooseberryring.ctl.sheet.SheetFile;
import org.gooseberryring.ctl.sheet.SheetReader;
import org.gooseberryring.protocol.ChangeRequest;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.Change;

/** Commands on the planners' sheet. */
final class SheetCommand {
    private static final String PLAN = "/admin/v1/plan";

    private SheetCommand() {}

    private static Change.ReplaceSheet change(String file) {
        SheetFile sheet = SheetReader.read(InputFile.read(file));
        if (!sheet.valid()) {
            StringBuilder message = new StringBuilder("The sheet " + file + " has faults; nothing was sent:");
            sheet.errors().forEach(error -> message.append("\n  ").append(error));
            throw new CtlException(ExitCode.BAD_INPUT, message.toString());
        }
        return new Change.ReplaceSheet(sheet.rows());
    }

    /** Shows what a sheet would change. */
    @Parameters(commandDescription = "Shows what a sheet would change and whether it fits; changes nothing")
    static final class Plan implements Command {
        @ParametersDelegate
        private AdminOptions options = new AdminOptions();

        @Parameter(description = "FILE", required = true)
        private String file;

        @Override
        public ExitCode run(Context context) {
            Change.ReplaceSheet change = change(file);
            ChangeRequest request = new ChangeRequest(null, null, List.of(change));
            HttpAnswer answer = options.client(context).post(PLAN, request);
            if (!answer.ok()) {
                throw new CtlException(ExitCode.REFUSED, Problems.describe(answer));
            }
            JsonNode plan = Json.readTree(answer.body());
            if (options.json()) {
                context.console().json(plan);
            } else {
                context.console().print(JsonTable.render(plan));
            }
            return plan.path("fits").asBoolean(true) ? ExitCode.DONE : ExitCode.REFUSED;
        }

        @Override
        public boolean help() {
            return options.help();
        }
    }

    /** Replaces the sheet in force. */
    @Parameters(commandDescription = "Replaces the sheet in force; refused as a whole if a row cannot be met")
    static final class Apply implements Command {
        @ParametersDelegate
        private ChangeOptions options = new ChangeOptions();

        @Parameter(description = "FILE", required = true)
        private String file;

        @Override
        public ExitCode run(Context context) {
            Change.ReplaceSheet change = change(file);
            String done = "The sheet with " + change.rows().size() + " rows is accepted";
            // The system changes placements by itself; only another operator's sheet or models make a conflict.
            return options.submit(
                    context,
                    done,
                    List.of(change),
                    (before, now) -> before.sheet().equals(now.sheet())
                            && before.models().equals(now.models()));
        }

        @Override
        public boolean help() {
            return options.admin().help();
        }
    }
}
