package org.gooseberryring.ctl;

/** Exit codes of the command line; scripts rely on the numbers. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The system refused the request; nothing was changed. */
    REFUSED(1),
    /** The arguments or an input file are invalid; nothing was sent. */
    BAD_INPUT(2),
    /** The change conflicts with another change; nothing was changed. */
    CONFLICT(3),
    /** No host responded; a change that was sent may have taken effect. */
    UNREACHABLE(4);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    public int number() {
        return number;
    }
}
