package org.gooseberryring.ctl.explain;

import java.util.List;

/**
 * Events from the logs of hosts that explain one request.
 *
 * @param requestId identifier of the request
 * @param lines events of the request, ordered by time
 * @param knownStates state known to each host at its first event of the request
 * @param relatedEvents other events of its endpoints or its model from shortly before the request until shortly after
 * @param gaps descriptions of events that are missing from the logs
 */
record RequestTimeline(
        String requestId,
        List<LogEvent> lines,
        List<KnownState> knownStates,
        List<LogEvent> relatedEvents,
        List<String> gaps) {
    RequestTimeline {
        lines = List.copyOf(lines);
        knownStates = List.copyOf(knownStates);
        relatedEvents = List.copyOf(relatedEvents);
        gaps = List.copyOf(gaps);
    }

    /**
     * State of one subject as known to a host.
     *
     * @param event last event that changed the state
     * @param ageMillis milliseconds from the event to the first event of the request on that host
     */
    record KnownState(LogEvent event, long ageMillis) {}
}
