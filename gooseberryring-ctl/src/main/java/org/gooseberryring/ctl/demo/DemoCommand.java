package org.gooseberryring.ctl.demo;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.ctl.command.Command;
import org.gooseberryring.ctl.command.Context;

/** Documents the demonstration, which the launcher script runs because a process must not start other processes. */
@Parameters(commandDescription = "Runs three hosts with stand-ins on this machine until interrupted")
public final class DemoCommand implements Command {
    @Parameter(names = "--once", description = "Stops after the sample requests")
    private boolean once;

    @Parameter(names = "--help", help = true, description = "Prints the usage")
    private boolean help;

    @Override
    public ExitCode run(Context context) {
        throw new CtlException(
                ExitCode.BAD_INPUT,
                "The demonstration is run by the launcher: bin/gooseberryctl demo" + (once ? " --once" : ""));
    }

    @Override
    public boolean isHelpRequested() {
        return help;
    }
}
