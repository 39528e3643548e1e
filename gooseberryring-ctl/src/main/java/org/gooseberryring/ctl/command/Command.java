package org.gooseberryring.ctl.command;

import org.gooseberryring.ctl.ExitCode;

/** Command with parsed options. */
public interface Command {
    /**
     * Runs the command.
     *
     * @return exit code of a successful run
     * @throws org.gooseberryring.ctl.CtlException if the command fails; it carries the exit code
     */
    ExitCode run(Context context);

    /** Returns whether the usage is printed instead of running the command. */
    boolean isHelpRequested();
}
