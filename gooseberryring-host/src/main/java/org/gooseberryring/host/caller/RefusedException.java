package org.gooseberryring.host.caller;

/** Thrown when the validation of a request finds that the request must be refused. */
public final class RefusedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    public RefusedException(Refusal refusal) {
        // Refusals are frequent under load, so no stack trace is collected.
        super(refusal.detail(), null, false, false);
        this.refusal = refusal;
    }

    public Refusal refusal() {
        return refusal;
    }
}
