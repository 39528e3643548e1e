package org.gooseberryring.ctl.admin;

/** Thrown if an HTTP call ends without a complete response. */
public final class NoResponseException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean mayHaveBeenSent;

    /**
     * Creates an exception.
     *
     * @param mayHaveBeenSent whether a byte of the request may have been sent, so that it may have taken effect
     */
    public NoResponseException(String message, boolean mayHaveBeenSent, Throwable cause) {
        super(message, cause);
        this.mayHaveBeenSent = mayHaveBeenSent;
    }

    public boolean mayHaveBeenSent() {
        return mayHaveBeenSent;
    }
}
