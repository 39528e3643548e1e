package org.gooseberryring.host.entry;

/**
 * Times of a graceful shutdown, in milliseconds of the monotonic clock.
 *
 * @param startedAt time of the request to stop
 * @param end time at which the requests that still run are ended
 */
record DrainSchedule(long startedAt, long end) {
    /**
     * Time in which the load balancer detects the failing readiness check, by two checks one second apart. New requests are
     * rejected from then on. It is less than the 3 s after which no request may be taken that the host could not answer,
     * since a request is read some time after it was sent.
     */
    private static final long READINESS_NOTICE_MILLIS = 2_700;

    /** Part of the shutdown time that is reserved for ending the process after the requests. */
    private static final long EXIT_RESERVE_MILLIS = 400;

    /** Part of this reserve for the end of the process itself, after the host was closed. */
    private static final long PROCESS_END_MILLIS = 200;

    /** Part of the shutdown time by which the signal may have come earlier than it is handled. */
    private static final long LATE_SIGNAL_PARTS = 4;

    /** Creates the schedule of a host that must have ended after a time from a signal that is handled now. */
    static DrainSchedule afterSignal(PauseWatch pauses, long now, long shutdownMillis) {
        return of(pauses.earliestSignal(now, shutdownMillis / LATE_SIGNAL_PARTS), shutdownMillis);
    }

    /** Creates the schedule of a host that must have ended after a time. */
    static DrainSchedule of(long startedAt, long shutdownMillis) {
        return new DrainSchedule(startedAt, startedAt + Math.max(1, shutdownMillis - EXIT_RESERVE_MILLIS));
    }

    /** Returns the time by which the host must be closed. */
    long closedBy() {
        return end + EXIT_RESERVE_MILLIS - PROCESS_END_MILLIS;
    }

    /** Returns the time from which all new requests are rejected. */
    long rejectsFrom() {
        return startedAt + Math.min(READINESS_NOTICE_MILLIS, (end - startedAt) / 2);
    }

    /**
     * Returns whether the host takes a new request.
     *
     * @param repeatable whether another host can repeat the request if this one must cut it off
     * @param deadline time at which the request ends at the latest
     */
    boolean accepts(boolean repeatable, long deadline, long now) {
        boolean mayEndInTime = repeatable || deadline <= end;
        return now < rejectsFrom() && (mayEndInTime || now < (startedAt + rejectsFrom()) / 2);
    }
}
