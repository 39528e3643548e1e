package org.gooseberryring.ctl.explain;

import java.time.Instant;
import java.util.List;
import java.util.stream.Collectors;

/** Renders the timeline of a request as text. */
final class TimelineText {
    private static final double MILLIS_PER_SECOND = 1_000;

    private TimelineText() {}

    static String of(RequestTimeline timeline) {
        StringBuilder text =
                new StringBuilder("request ").append(timeline.requestId()).append('\n');
        events(text, "events of the request", timeline.lines());
        if (!timeline.knownStates().isEmpty()) {
            text.append("state known to its hosts at their first event:\n");
            for (RequestTimeline.KnownState state : timeline.knownStates()) {
                text.append(String.format(
                        "  %s  %s  (%.1f s old)%n",
                        state.event().host(), state.event().text(""), state.ageMillis() / MILLIS_PER_SECOND));
            }
        }
        events(text, "events of its endpoints and its model", timeline.relatedEvents());
        String gaps = timeline.gaps().stream().map(gap -> "  " + gap).collect(Collectors.joining("\n"));
        text.append(gaps.isEmpty() ? "no event is known to be missing" : "missing:\n" + gaps);
        return text.toString();
    }

    private static void events(StringBuilder text, String title, List<LogEvent> events) {
        if (events.isEmpty()) {
            return;
        }
        text.append(title).append(":\n");
        for (LogEvent event : events) {
            text.append("  ")
                    .append(Instant.ofEpochMilli(event.atMillis()))
                    .append("  ")
                    .append(event.host())
                    .append("  ")
                    .append(event.text("requestId"))
                    .append('\n');
        }
    }
}
