package org.gooseberryring.ctl;

/** Exit codes of the command line; scripts rely on the numbers. */
public enum ExitCode {
    /** The command did what it was asked to do. */
    DONE(0),
    /** The system refused the request and nothing was changed. */
    REFUSED(1),
    /** The arguments or an input file are wrong and nothing was sent. */
    BAD_INPUT(2),
    /** Another change came first; nothing was changed. */
    CONFLICT(3),
    /** No host answered; a change that was sent may have taken effect. */
    UNREACHABLE(4);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    public int number() {
        return number;
    }
}
