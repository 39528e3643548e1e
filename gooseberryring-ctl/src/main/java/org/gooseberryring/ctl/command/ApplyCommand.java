package org.gooseberryring.ctl.command;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.GooseberryringException;

/** Applies a list of changes atomically. */
@Parameters(commandDescription = "Applies a JSON list of changes, all or none")
final class ApplyCommand implements Command {
    @ParametersDelegate
    private ChangeOptions options = new ChangeOptions();

    @Parameter(description = "FILE (- for standard input)", required = true)
    private String file;

    @Override
    public ExitCode run(Context context) {
        List<Change> changes = read();
        return options.submitAndPrint(
                context, changes.size() + " changes were accepted", changes, (before, now) -> false);
    }

    @Override
    public boolean isHelpRequested() {
        return options.admin().isHelpRequested();
    }

    private List<Change> read() {
        try {
            List<Change> changes = List.of(Json.read(InputFile.read(file), Change[].class));
            if (changes.isEmpty()) {
                throw new CtlException(ExitCode.BAD_INPUT, file + " contains no change");
            }
            return changes;
        } catch (GooseberryringException e) {
            throw new CtlException(ExitCode.BAD_INPUT, file + ": " + e.getMessage());
        }
    }
}
