package org.gooseberryring.state;

/** Unchecked failure with a stable code and the verdict on the request it concerns. */
public class GooseberryringException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final Verdict verdict;

    /** Creates a failure of work that did not run. */
    public GooseberryringException(ErrorCode code, String message) {
        this(code, Verdict.NOT_RUN, message, null);
    }

    /** Creates a failure with a verdict and a cause, which may be null. */
    public GooseberryringException(ErrorCode code, Verdict verdict, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
        this.verdict = verdict;
    }

    public ErrorCode code() {
        return code;
    }

    public Verdict verdict() {
        return verdict;
    }
}
