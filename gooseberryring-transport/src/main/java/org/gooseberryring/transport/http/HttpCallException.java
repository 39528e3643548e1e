package org.gooseberryring.transport.http;

/** Failure of an HTTP call, with the information whether the request may have been sent. */
public final class HttpCallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean mayHaveBeenSent;

    /**
     * Creates a failure.
     *
     * @param message description of the failure
     * @param mayHaveBeenSent whether a byte of the request may have been sent
     * @param cause underlying failure, or null
     */
    public HttpCallException(String message, boolean mayHaveBeenSent, Throwable cause) {
        super(message, cause);
        this.mayHaveBeenSent = mayHaveBeenSent;
    }

    /** Returns whether the request may have been sent, so that it may have taken effect. */
    public boolean mayHaveBeenSent() {
        return mayHaveBeenSent;
    }
}
