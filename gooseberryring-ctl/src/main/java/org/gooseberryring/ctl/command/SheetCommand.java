package org.gooseberryring.ctl.command;

import java.util.List;
import java.util.regex.Pattern;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.ctl.admin.AdminResponse;
import org.gooseberryring.ctl.admin.ProblemReader;
import org.gooseberryring.ctl.sheet.SheetFile;
import org.gooseberryring.ctl.sheet.SheetReader;
import org.gooseberryring.protocol.ChangeRequest;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.FleetConfiguration;

/** Commands on the planners' sheet. */
final class SheetCommand {
    private static final String PLAN = "/admin/v1/plan";
    private static final Pattern ROW = Pattern.compile("(?:changes\\[0]\\.)?rows\\[([0-9]{1,6})]");

    private SheetCommand() {}

    private static SheetFile read(String file) {
        SheetFile sheet = SheetReader.read(InputFile.read(file));
        if (!sheet.valid()) {
            StringBuilder message = new StringBuilder("The sheet " + file + " has faults; nothing was sent:");
            sheet.errors().forEach(error -> message.append("\n  ").append(error));
            throw new CtlException(ExitCode.BAD_INPUT, message.toString());
        }
        return sheet;
    }

    /** Names the lines of the file where the host names rows of the change. */
    private static CtlException withLines(CtlException refusal, SheetFile sheet) {
        String message = ROW.matcher(refusal.getMessage()).replaceAll(match -> {
            int row = Integer.parseInt(match.group(1));
            return row < sheet.lines().size() ? "line " + sheet.lines().get(row) : match.group();
        });
        return new CtlException(refusal.exitCode(), message);
    }

    /** The system changes placements by itself; only another operator's sheet or models make a conflict. */
    private static boolean sameSheet(FleetConfiguration before, FleetConfiguration now) {
        return before.sheet().equals(now.sheet()) && before.models().equals(now.models());
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
            SheetFile sheet = read(file);
            ChangeRequest request = new ChangeRequest(null, null, List.of(new Change.ReplaceSheet(sheet.rows())));
            AdminResponse answer = options.client(context).post(PLAN, request);
            if (!answer.ok()) {
                throw withLines(new CtlException(ExitCode.REFUSED, ProblemReader.describe(answer)), sheet);
            }
            JsonNode plan = Json.readTree(answer.body());
            if (options.json()) {
                context.console().json(plan);
            } else {
                context.console().print(JsonTable.render(plan));
            }
            return ExitCode.DONE;
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
            SheetFile sheet = read(file);
            String done = "The sheet with " + sheet.rows().size() + " rows is accepted";
            List<Change> changes = List.of(new Change.ReplaceSheet(sheet.rows()));
            try {
                return options.submit(context, done, changes, SheetCommand::sameSheet);
            } catch (CtlException e) {
                throw withLines(e, sheet);
            }
        }

        @Override
        public boolean help() {
            return options.admin().help();
        }
    }
}
