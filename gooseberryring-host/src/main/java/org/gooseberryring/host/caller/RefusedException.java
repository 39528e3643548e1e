package org.gooseberryring.host.caller;

/** Ends the examination of a request that is refused. */
public final class RefusedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    public RefusedException(Refusal refusal) {
        // Refusals are part of normal work under load, so no stack trace is collected.
        super(refusal.detail(), null, false, false);
        this.refusal = refusal;
    }

    public Refusal refusal() {
        return refusal;
    }
}
