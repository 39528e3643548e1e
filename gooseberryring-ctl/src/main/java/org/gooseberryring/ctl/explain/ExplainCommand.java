package org.gooseberryring.ctl.explain;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.ctl.command.Command;
import org.gooseberryring.ctl.command.Context;

/** Prints the timeline of one request from the log files of hosts. */
@Parameters(commandDescription = "Prints the timeline of a request from the log files of hosts")
public final class ExplainCommand implements Command {
    private static final String USAGE = "Give the identifier of a request and at least one log file";
    private static final String NOT_FOUND = "No event of request %s in these files";

    @Parameter(description = "REQUEST-ID FILE...")
    private List<String> arguments = new ArrayList<>();

    @Parameter(names = "--help", help = true, description = "Prints the usage")
    private boolean help;

    @Override
    public ExitCode run(Context context) {
        if (arguments.size() < 2) {
            throw new CtlException(ExitCode.BAD_INPUT, USAGE);
        }
        String requestId = arguments.get(0);
        List<Path> files =
                arguments.subList(1, arguments.size()).stream().map(Path::of).toList();
        RequestTimeline timeline = new TimelineBuilder(new LogFiles(files)).build(requestId);
        if (timeline.lines().isEmpty()) {
            throw new CtlException(ExitCode.BAD_INPUT, String.format(NOT_FOUND, requestId));
        }
        context.console().print(TimelineText.of(timeline));
        return ExitCode.DONE;
    }

    @Override
    public boolean isHelpRequested() {
        return help;
    }
}
