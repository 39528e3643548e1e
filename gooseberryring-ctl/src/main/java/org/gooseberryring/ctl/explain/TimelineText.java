package org.gooseberryring.ctl.explain;

import java.time.Instant;
import java.util.List;
import java.util.stream.Collectors;

/** Writes the story of a request as lines for a reader. */
final class TimelineText {
    private static final double MILLIS_PER_SECOND = 1_000;

    private TimelineText() {}

    static String of(RequestTimeline timeline) {
        StringBuilder text =
                new StringBuilder("request ").append(timeline.requestId()).append('\n');
        events(text, "its lines", timeline.lines());
        if (!timeline.beliefs().isEmpty()) {
            text.append("what its hosts believed at their first line:\n");
            for (RequestTimeline.Belief belief : timeline.beliefs()) {
                text.append(String.format(
                        "  %s  %s  (%.1f s old)%n",
                        belief.event().host(), belief.event().text(""), belief.ageMillis() / MILLIS_PER_SECOND));
            }
        }
        events(text, "what happened to its endpoints and its model", timeline.around());
        String gaps = timeline.gaps().stream().map(gap -> "  " + gap).collect(Collectors.joining("\n"));
        text.append(gaps.isEmpty() ? "no line is known to be missing" : "missing:\n" + gaps);
        return text.toString();
    }

    private static void events(StringBuilder text, String title, List<LogEvent> events) {
        if (events.isEmpty()) {
            return;
        }
        text.append(title).append(":\n");
        for (LogEvent event : events) {
            text.append("  ")
                    .append(Instant.ofEpochMilli(event.at()))
                    .append("  ")
                    .append(event.host())
                    .append("  ")
                    .append(event.text("requestId"))
                    .append('\n');
        }
    }
}
