package org.gooseberryring.ctl.command;

import org.gooseberryring.ctl.ExitCode;

/** Command whose options are set. */
public interface Command {
    /**
     * Runs the command.
     *
     * @throws org.gooseberryring.ctl.CtlException if it fails, with the exit code
     */
    ExitCode run(Context context);

    /** Returns whether only the usage is asked for. */
    boolean help();
}
