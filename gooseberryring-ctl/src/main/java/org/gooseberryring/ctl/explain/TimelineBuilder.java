package org.gooseberryring.ctl.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Finds in the logs of hosts what concerns one request. */
final class TimelineBuilder {
    /** Orders and searches for a model that are older than this do not explain a refusal. */
    private static final long BEFORE_MILLIS = 5_000;

    /** What became of an endpoint is known this long after an attempt at it. */
    private static final long AFTER_MILLIS = 2_000;

    private static final String STARTED = "attempt-started";
    private static final String ENDED = "attempt-ended";
    private static final String LEFT_OUT = "log-lines-left-out";
    private static final String NO_LINES = "no line of this request in these files";
    private static final Set<String> ENDPOINT_EVENTS =
            Set.of("endpoint-registered", "endpoint-gone", "endpoint-probed");
    private static final Set<String> MODEL_EVENTS = Set.of("artifact-wanted", "order-answered");

    private final EventSource events;

    TimelineBuilder(EventSource events) {
        this.events = events;
    }

    RequestTimeline build(String requestId) {
        List<LogEvent> lines = new ArrayList<>();
        events.forEach(event -> {
            if (event.field("requestId").equals(requestId)) {
                lines.add(event);
            }
        });
        lines.sort(Comparator.comparingLong(LogEvent::at));
        Scope scope = new Scope(lines);
        Map<String, Map<String, LogEvent>> beliefs = new LinkedHashMap<>();
        List<LogEvent> around = new ArrayList<>();
        List<String> gaps = new ArrayList<>();
        events.forEach(event -> {
            believe(beliefs, scope, event);
            if (scope.concerns(event)) {
                around.add(event);
            }
            if (event.is(LEFT_OUT) && scope.covers(event.at()) && scope.firstAt.containsKey(event.host())) {
                gaps.add(event.host() + " left out " + event.field("count") + " lines up to " + event.at());
            }
        });
        around.sort(Comparator.comparingLong(LogEvent::at));
        gaps.addAll(missing(lines));
        return new RequestTimeline(requestId, lines, beliefs(beliefs, scope), around, gaps);
    }

    /** Takes over what an event before the request made its host believe. */
    private static void believe(Map<String, Map<String, LogEvent>> beliefs, Scope scope, LogEvent event) {
        Long first = scope.firstAt.get(event.host());
        if (first == null || event.at() > first) {
            return;
        }
        Map<String, LogEvent> known = beliefs.computeIfAbsent(event.host(), host -> new LinkedHashMap<>());
        if (event.is("host-started")) {
            known.clear();
        }
        String subject = subject(event, scope);
        if (subject != null) {
            known.put(subject, event);
        }
    }

    /** Returns what an event is about, null if it does not matter to the request. */
    private static String subject(LogEvent event, Scope scope) {
        return switch (event.name()) {
            case "host-started", "drain-started" -> "host";
            case "configuration-adopted" -> "configuration";
            case "store-lost", "store-regained" -> "store " + event.field("collection");
            case "failure-domain" -> "failure domain " + event.field("failureDomain");
            case "controller-term" -> "controller";
            case "endpoint-registered", "endpoint-gone" ->
                scope.endpoints.contains(event.field("endpoint")) ? "endpoint " + event.field("endpoint") : null;
            default -> null;
        };
    }

    private static List<RequestTimeline.Belief> beliefs(Map<String, Map<String, LogEvent>> known, Scope scope) {
        List<RequestTimeline.Belief> beliefs = new ArrayList<>();
        known.forEach((host, bySubject) -> bySubject
                .values()
                .forEach(
                        event -> beliefs.add(new RequestTimeline.Belief(event, scope.firstAt.get(host) - event.at()))));
        return beliefs;
    }

    /** Returns what a complete log would hold besides these lines. */
    private static List<String> missing(List<LogEvent> lines) {
        List<String> missing = new ArrayList<>();
        if (lines.isEmpty()) {
            missing.add(NO_LINES);
            return missing;
        }
        Set<String> ended = new HashSet<>();
        boolean whole = false;
        for (LogEvent line : lines) {
            if (line.is(ENDED)) {
                ended.add(line.host() + line.field("attempt"));
            }
            whole |= line.is("request-ended") || line.is("request-rejected");
        }
        for (LogEvent line : lines) {
            if (line.is(STARTED) && !ended.contains(line.host() + line.field("attempt"))) {
                missing.add("no end of attempt " + line.field("attempt") + " at " + line.field("endpoint"));
            }
        }
        if (!whole) {
            missing.add("no end of the request: its host stopped, or the line was left out");
        }
        return missing;
    }

    /** What the lines of a request name: hosts, endpoints and models, and their time. */
    private static final class Scope {
        /** Positions of the model and the adapter in a target. */
        private static final int MODEL = 1;

        private static final int ADAPTER = 2;

        private final Map<String, Long> firstAt = new HashMap<>();
        private final Set<String> endpoints = new HashSet<>();
        private final Set<String> models = new HashSet<>();
        private final Set<String> adapters = new HashSet<>();
        private long from = Long.MAX_VALUE;
        private long to = Long.MIN_VALUE;

        Scope(List<LogEvent> lines) {
            for (LogEvent line : lines) {
                firstAt.merge(line.host(), line.at(), Math::min);
                from = Math.min(from, line.at());
                to = Math.max(to, line.at());
                if (!line.field("endpoint").isEmpty()) {
                    endpoints.add(line.field("endpoint"));
                }
                String[] target = line.field("target").split("/");
                if (target.length > MODEL) {
                    models.add(target[MODEL]);
                }
                if (target.length > ADAPTER) {
                    adapters.add(target[ADAPTER]);
                }
            }
        }

        boolean covers(long at) {
            return !firstAt.isEmpty() && at >= from - BEFORE_MILLIS && at <= to + AFTER_MILLIS;
        }

        boolean concerns(LogEvent event) {
            if (!covers(event.at())) {
                return false;
            }
            boolean ofEndpoint = ENDPOINT_EVENTS.contains(event.name())
                    && event.at() >= from
                    && endpoints.contains(event.field("endpoint"));
            return ofEndpoint || MODEL_EVENTS.contains(event.name()) && isNeeded(event);
        }

        /** Returns whether an event is about the model or the adapter of the request. */
        private boolean isNeeded(LogEvent event) {
            String adapter = event.field("adapter");
            return models.contains(event.field("model")) && (adapter.isEmpty() || adapters.contains(adapter));
        }
    }
}
