package org.gooseberryring.ctl;

/** Thrown if a command fails, with the exit code and a message for the operator. */
public final class CtlException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    /** Creates an exception; the message is printed unchanged. */
    public CtlException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    public ExitCode exitCode() {
        return exitCode;
    }
}
