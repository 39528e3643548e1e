package org.gooseberryring.transport.http;

/** Failure of an HTTP call that says whether the request may have been sent. */
public final class HttpCallException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean maySent;

    /**
     * Creates a failure.
     *
     * @param message what failed
     * @param maySent whether a byte of the request may have left this host
     * @param cause underlying failure, or null
     */
    public HttpCallException(String message, boolean maySent, Throwable cause) {
        super(message, cause);
        this.maySent = maySent;
    }

    /** Returns whether the request may have been sent, so that it may have taken effect. */
    public boolean mayHaveBeenSent() {
        return maySent;
    }
}
