package org.gooseberryring.ctl.admin;

/** HTTP call without a whole answer. */
public final class NoResponseException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean maySent;

    /**
     * Creates a failure.
     *
     * @param maySent whether a byte of the request may have been sent, so that it may have taken effect
     */
    public NoResponseException(String message, boolean maySent, Throwable cause) {
        super(message, cause);
        this.maySent = maySent;
    }

    public boolean mayHaveBeenSent() {
        return maySent;
    }
}
