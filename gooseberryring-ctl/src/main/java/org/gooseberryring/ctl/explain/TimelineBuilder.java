package org.gooseberryring.ctl.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Builds the timeline of one request from the logs of hosts. */
final class TimelineBuilder {
    /** Older orders and requests for a model do not explain a refusal. */
    private static final long WINDOW_BEFORE_MILLIS = 5_000;

    /** The state of an endpoint is known within this time after an attempt. */
    private static final long WINDOW_AFTER_MILLIS = 2_000;

    private static final String ATTEMPT_STARTED = "attempt-started";
    private static final String ATTEMPT_ENDED = "attempt-ended";
    private static final String LOG_LINES_LEFT_OUT = "log-lines-left-out";
    private static final String NO_EVENTS = "no event of this request in these files";
    private static final String LIMIT = "endpoint-limit";
    private static final String LIMIT_ENDED = "endpoint-limit-ended";
    private static final String PART_REJECTED = "part-rejected";
    private static final String PART_ACCEPTED = "part-accepted";
    private static final Set<String> ENDPOINT_EVENTS =
            Set.of("endpoint-registered", "endpoint-gone", "endpoint-probed", LIMIT, LIMIT_ENDED);
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
        lines.sort(Comparator.comparingLong(LogEvent::atMillis));
        Scope scope = new Scope(lines);
        Map<String, Map<String, LogEvent>> knownStates = new LinkedHashMap<>();
        List<LogEvent> relatedEvents = new ArrayList<>();
        List<String> gaps = new ArrayList<>();
        events.forEach(event -> {
            updateKnownStates(knownStates, scope, event);
            if (scope.isRelated(event)) {
                relatedEvents.add(event);
            }
            if (event.hasName(LOG_LINES_LEFT_OUT)
                    && scope.covers(event.atMillis())
                    && scope.firstMillis.containsKey(event.host())) {
                gaps.add(event.host() + " omitted " + event.field("count") + " lines up to time " + event.atMillis());
            }
        });
        relatedEvents.sort(Comparator.comparingLong(LogEvent::atMillis));
        gaps.addAll(missing(lines));
        return new RequestTimeline(requestId, lines, knownStates(knownStates, scope), relatedEvents, gaps);
    }

    /** Updates the state known to a host from an event before its first event of the request. */
    private static void updateKnownStates(Map<String, Map<String, LogEvent>> knownStates, Scope scope, LogEvent event) {
        Long first = scope.firstMillis.get(event.host());
        if (first == null || event.atMillis() > first) {
            return;
        }
        Map<String, LogEvent> known = knownStates.computeIfAbsent(event.host(), host -> new LinkedHashMap<>());
        if (event.hasName("host-started")) {
            known.clear();
        }
        String subject = subject(event, scope);
        if (subject != null) {
            known.put(subject, event);
        }
    }

    /** Returns the subject of an event, or null if the event is not relevant to the request. */
    private static String subject(LogEvent event, Scope scope) {
        return switch (event.name()) {
            case "host-started", "drain-started" -> "host";
            case "configuration-adopted" -> "configuration";
            case "store-lost", "store-regained" -> "store " + event.field("collection");
            case "failure-domain" -> "failure domain " + event.field("failureDomain");
            case "controller-term" -> "controller";
            case "endpoint-registered", "endpoint-gone" ->
                scope.endpoints.contains(event.field("endpoint")) ? "endpoint " + event.field("endpoint") : null;
            case LIMIT, LIMIT_ENDED ->
                scope.endpoints.contains(event.field("endpoint")) ? "limit of " + event.field("endpoint") : null;
            case PART_REJECTED, PART_ACCEPTED ->
                scope.parts.contains(event.field("part")) ? "part " + event.field("part") : null;
            default -> null;
        };
    }

    private static List<RequestTimeline.KnownState> knownStates(Map<String, Map<String, LogEvent>> known, Scope scope) {
        List<RequestTimeline.KnownState> knownStates = new ArrayList<>();
        known.forEach((host, bySubject) -> bySubject
                .values()
                .forEach(event -> knownStates.add(
                        new RequestTimeline.KnownState(event, scope.firstMillis.get(host) - event.atMillis()))));
        return knownStates;
    }

    /** Describes the events that a complete log would contain in addition to these. */
    private static List<String> missing(List<LogEvent> lines) {
        List<String> missing = new ArrayList<>();
        if (lines.isEmpty()) {
            missing.add(NO_EVENTS);
            return missing;
        }
        Set<String> ended = new HashSet<>();
        boolean requestEnded = false;
        for (LogEvent line : lines) {
            if (line.hasName(ATTEMPT_ENDED)) {
                ended.add(line.host() + line.field("attempt"));
            }
            requestEnded |= line.hasName("request-ended") || line.hasName("request-rejected");
        }
        for (LogEvent line : lines) {
            if (line.hasName(ATTEMPT_STARTED) && !ended.contains(line.host() + line.field("attempt"))) {
                missing.add("no end of attempt " + line.field("attempt") + " at " + line.field("endpoint"));
            }
        }
        if (!requestEnded) {
            missing.add("no end of the request: its host stopped, or the line was omitted");
        }
        return missing;
    }

    /** Hosts, endpoints, models, prompt parts and time span of the events of a request. */
    private static final class Scope {
        /** Index of the model and of the adapter among the parts of a target, which are separated by slashes. */
        private static final int MODEL = 1;

        private static final int ADAPTER = 2;

        private final Map<String, Long> firstMillis = new HashMap<>();
        private final Set<String> endpoints = new HashSet<>();
        private final Set<String> models = new HashSet<>();
        private final Set<String> adapters = new HashSet<>();
        private final Set<String> parts = new HashSet<>();
        private long fromMillis = Long.MAX_VALUE;
        private long toMillis = Long.MIN_VALUE;

        Scope(List<LogEvent> lines) {
            for (LogEvent line : lines) {
                firstMillis.merge(line.host(), line.atMillis(), Math::min);
                fromMillis = Math.min(fromMillis, line.atMillis());
                toMillis = Math.max(toMillis, line.atMillis());
                if (!line.field("endpoint").isEmpty()) {
                    endpoints.add(line.field("endpoint"));
                }
                if (!line.field("part").isEmpty()) {
                    parts.add(line.field("part"));
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

        boolean covers(long atMillis) {
            return !firstMillis.isEmpty()
                    && atMillis >= fromMillis - WINDOW_BEFORE_MILLIS
                    && atMillis <= toMillis + WINDOW_AFTER_MILLIS;
        }

        boolean isRelated(LogEvent event) {
            if (!covers(event.atMillis())) {
                return false;
            }
            boolean concernsEndpoint = ENDPOINT_EVENTS.contains(event.name())
                    && event.atMillis() >= fromMillis
                    && endpoints.contains(event.field("endpoint"));
            return concernsEndpoint || MODEL_EVENTS.contains(event.name()) && concernsModel(event);
        }

        /** Returns whether an event concerns the model or the adapter of the request. */
        private boolean concernsModel(LogEvent event) {
            String adapter = event.field("adapter");
            return models.contains(event.field("model")) && (adapter.isEmpty() || adapters.contains(adapter));
        }
    }
}
