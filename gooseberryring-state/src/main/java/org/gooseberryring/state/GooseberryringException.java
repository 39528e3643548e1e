package org.gooseberryring.state;

/** Unchecked exception with a stable error code and the verdict on the affected request. */
public class GooseberryringException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final Verdict verdict;

    /** Creates an exception for a request that did not run. */
    public GooseberryringException(ErrorCode code, String message) {
        this(code, Verdict.NOT_RUN, message, null);
    }

    /** Creates an exception with a verdict and a cause, which may be null. */
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
