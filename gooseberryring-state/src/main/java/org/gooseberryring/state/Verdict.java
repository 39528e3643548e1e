package org.gooseberryring.state;

/** Result of a request as to whether it may have run on an endpoint. */
public enum Verdict {
    /** The request certainly did not run, so it may always be retried. */
    NOT_RUN("not-run"),
    /** The request may have run; only an idempotent request may be retried. */
    MAY_HAVE_RUN("may-have-run"),
    /** The request ran and its complete response was received. */
    COMPLETED("completed");

    private final String wireName;

    Verdict(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name used in responses, logs and messages. */
    public String wireName() {
        return wireName;
    }
}
