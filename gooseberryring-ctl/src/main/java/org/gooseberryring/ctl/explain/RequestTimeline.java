package org.gooseberryring.ctl.explain;

import java.util.List;

/**
 * What the logs of hosts tell of one request.
 *
 * @param requestId identifier of the request
 * @param lines its own lines, in the order of their time
 * @param beliefs what the hosts that wrote them believed at their first line
 * @param around other events that concern its endpoints or its model while it was open and shortly before
 * @param gaps what is missing from the logs
 */
record RequestTimeline(
        String requestId, List<LogEvent> lines, List<Belief> beliefs, List<LogEvent> around, List<String> gaps) {
    RequestTimeline {
        lines = List.copyOf(lines);
        beliefs = List.copyOf(beliefs);
        around = List.copyOf(around);
        gaps = List.copyOf(gaps);
    }

    /**
     * Last event that shaped what a host believed of one thing.
     *
     * @param event the event
     * @param ageMillis milliseconds from the event to the first line of the request at that host
     */
    record Belief(LogEvent event, long ageMillis) {}
}
