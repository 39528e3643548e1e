package org.gooseberryring.ctl;

/** Failure of a command with its exit code and a message for the operator. */
public final class CtlException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    /** Creates a failure; the message is printed as it is. */
    public CtlException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    public ExitCode exitCode() {
        return exitCode;
    }
}
