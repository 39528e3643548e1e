package org.gooseberryring.transport.endpoint;

/** Reason why bytes that an endpoint sent in the place of an event are not passed on. */
public enum EventFault {
    /** A line that has no name of a field. */
    UNKNOWN_LINE("unknown-line"),
    /** Fields without an id. */
    NO_ID("no-id"),
    /** An id without a text. */
    NO_TEXT("no-text"),
    /** More than one id. */
    SECOND_ID("second-id"),
    /** An id that is no number. */
    UNREADABLE_ID("unreadable-id"),
    /** An id that is not above the one before, other than in the first events of a stream that is continued. */
    REPEATED_ID("repeated-id"),
    /** An id that is further ahead than the one that is due by the numbering of the service. */
    MISSING_EVENT("missing-event");

    private final String logName;

    EventFault(String logName) {
        this.logName = logName;
    }

    /** Returns the name of the fault in logs and metrics. */
    public String logName() {
        return logName;
    }
}
