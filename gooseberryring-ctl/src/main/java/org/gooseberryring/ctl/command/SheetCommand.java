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

/** Commands that plan and apply the planners' sheet. */
final class SheetCommand {
    private static final String PLAN = "/admin/v1/plan";
    private static final Pattern ROW = Pattern.compile("(?:changes\\[0]\\.)?rows\\[([0-9]{1,6})]");

    private SheetCommand() {}

    private static SheetFile read(String file) {
        SheetFile sheet = SheetReader.read(InputFile.read(file));
        if (!sheet.isValid()) {
            StringBuilder message = new StringBuilder("The sheet " + file + " is invalid; nothing was sent:");
            sheet.errors().forEach(error -> message.append("\n  ").append(error));
            throw new CtlException(ExitCode.BAD_INPUT, message.toString());
        }
        return sheet;
    }

    /** Replaces the row indexes in a refusal of the host by line numbers of the file. */
    private static CtlException withLineNumbers(CtlException refusal, SheetFile sheet) {
        String message = ROW.matcher(refusal.getMessage()).replaceAll(match -> {
            int row = Integer.parseInt(match.group(1));
            return row < sheet.lines().size() ? "line " + sheet.lines().get(row) : match.group();
        });
        return new CtlException(refusal.exitCode(), message);
    }

    /** Ignores placements, which the system changes on its own; only a change of the sheet or models is a conflict. */
    private static boolean hasSameSheetAndModels(FleetConfiguration before, FleetConfiguration current) {
        return before.sheet().equals(current.sheet()) && before.models().equals(current.models());
    }

    /** Shows the changes that a sheet would cause. */
    @Parameters(commandDescription = "Shows the changes that a sheet would cause and whether it fits; a dry run")
    static final class Plan implements Command {
        @ParametersDelegate
        private AdminOptions options = new AdminOptions();

        @Parameter(description = "FILE", required = true)
        private String file;

        @Override
        public ExitCode run(Context context) {
            SheetFile sheet = read(file);
            ChangeRequest request = new ChangeRequest(null, null, List.of(new Change.ReplaceSheet(sheet.rows())));
            AdminResponse response = options.client(context).post(PLAN, request);
            if (!response.isSuccessful()) {
                throw withLineNumbers(new CtlException(ExitCode.REFUSED, ProblemReader.describe(response)), sheet);
            }
            JsonNode plan = Json.readTree(response.body());
            if (options.isJson()) {
                context.console().printJson(plan);
            } else {
                context.console().print(JsonTable.render(plan));
            }
            return ExitCode.DONE;
        }

        @Override
        public boolean isHelpRequested() {
            return options.isHelpRequested();
        }
    }

    /** Replaces the sheet in force. */
    @Parameters(
            commandDescription = "Replaces the sheet in force; rejects the complete sheet if a row cannot be satisfied")
    static final class Apply implements Command {
        @ParametersDelegate
        private ChangeOptions options = new ChangeOptions();

        @Parameter(description = "FILE", required = true)
        private String file;

        @Override
        public ExitCode run(Context context) {
            SheetFile sheet = read(file);
            String resultText = "The sheet with " + sheet.rows().size() + " rows was accepted";
            List<Change> changes = List.of(new Change.ReplaceSheet(sheet.rows()));
            try {
                return options.submitAndPrint(context, resultText, changes, SheetCommand::hasSameSheetAndModels);
            } catch (CtlException e) {
                throw withLineNumbers(e, sheet);
            }
        }

        @Override
        public boolean isHelpRequested() {
            return options.admin().isHelpRequested();
        }
    }
}
