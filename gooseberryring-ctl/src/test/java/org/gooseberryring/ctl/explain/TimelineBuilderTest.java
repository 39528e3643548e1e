package org.gooseberryring.ctl.explain;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class TimelineBuilderTest {
    private static final List<String> FIRST_HOST = List.of(
            "at=1000 level=info event=host-started host=h1",
            "at=2000 level=info event=configuration-adopted version=3 routes=2",
            "at=2500 level=info event=configuration-adopted version=4 routes=2",
            "at=3000 level=info event=endpoint-registered endpoint=e1 leaving=false",
            "at=3100 level=info event=endpoint-registered endpoint=e9 leaving=false",
            "at=9000 level=debug event=attempt-started requestId=r1 attempt=1 target=llm/m/a1 endpoint=e1",
            "at=9100 level=debug event=attempt-started requestId=r2 attempt=1 target=llm/n endpoint=e9",
            "at=9400 level=debug event=attempt-ended requestId=r1 attempt=1 endpoint=e1 verdict=may-have-run status=0",
            "at=9410 level=debug event=request-refused requestId=r1 code=incomplete-answer verdict=may-have-run",
            "at=9420 level=info event=request-ended requestId=r1 status=502 whole=true",
            "at=9500 level=info event=endpoint-probed endpoint=e1 crashed=true");
    private static final List<String> SECOND_HOST = List.of(
            "at=8000 level=info event=order-answered endpoint=e1 action=LOAD model=m adapter=a1 answer=ACCEPTED",
            "at=8100 level=info event=order-answered endpoint=e1 action=LOAD model=n adapter= answer=ACCEPTED",
            "at=8200 level=info event=order-answered endpoint=e1 action=LOAD model=m adapter=a7 answer=ACCEPTED",
            "at=9500 level=info event=endpoint-gone endpoint=e1");

    /** Guards against a timeline that omits events which affected the request, or includes unrelated ones. */
    @Test
    void collectsEventsKnownStatesAndRelatedEventsOfRequest() {
        RequestTimeline timeline = builder(FIRST_HOST, SECOND_HOST).build("r1");

        assertThat(names(timeline.lines()))
                .containsExactly("attempt-started", "attempt-ended", "request-refused", "request-ended")
                .inOrder();
        assertThat(timeline.knownStates().stream().map(state -> state.event().text("") + " " + state.ageMillis()))
                .containsExactly(
                        "host-started host=h1 8000",
                        "configuration-adopted version=4 routes=2 6500",
                        "endpoint-registered endpoint=e1 leaving=false 6000");
        assertThat(names(timeline.relatedEvents()))
                .containsExactly("order-answered", "endpoint-probed", "endpoint-gone")
                .inOrder();
        assertThat(timeline.gaps()).isEmpty();
    }

    /** Guards against a timeline that looks complete although lines were omitted or never written. */
    @Test
    void reportsMissingEvents() {
        List<String> truncated = List.of(
                "at=9000 level=debug event=attempt-started requestId=r1 attempt=1 endpoint=e1",
                "at=9300 level=warning event=log-lines-left-out count=12");

        RequestTimeline timeline = builder(truncated, List.of()).build("r1");

        assertThat(timeline.gaps()).hasSize(3);
        assertThat(timeline.gaps().get(0)).contains("12");
        assertThat(timeline.gaps().get(1)).contains("attempt 1 at e1");
        assertThat(builder(truncated, List.of()).build("r7").gaps()).hasSize(1);
    }

    /** Guards against a rejection for the limit of an endpoint whose cause cannot be seen. */
    @Test
    void showsTheLimitThatRejectedARequest() {
        List<String> limited = List.of(
                "at=1000 level=info event=host-started host=h1",
                "at=7000 level=info event=endpoint-limit endpoint=e1 requestsPerSecond=1.2 source=h2 ageMs=200",
                "at=7000 level=info event=endpoint-limit endpoint=e9 requestsPerSecond=3.0 source=answer ageMs=0",
                "at=9000 level=debug event=request-limited requestId=r1 endpoint=e1 action=rejected waitMs=2100",
                "at=9001 level=info event=request-refused requestId=r1 code=no-endpoint verdict=not-run",
                "at=9002 level=info event=request-ended requestId=r1 status=503 whole=true",
                "at=9800 level=info event=endpoint-limit-ended endpoint=e1 source=answer");

        RequestTimeline timeline = builder(limited, List.of()).build("r1");

        assertThat(names(timeline.lines())).contains("request-limited");
        assertThat(timeline.knownStates().stream().map(state -> state.event().text("") + " " + state.ageMillis()))
                .containsExactly(
                        "host-started host=h1 8000",
                        "endpoint-limit endpoint=e1 requestsPerSecond=1.2 source=h2 ageMs=200 2000");
        assertThat(names(timeline.relatedEvents())).containsExactly("endpoint-limit-ended");
    }

    /** Guards against a rejection for a part of the prompt whose cause cannot be seen. */
    @Test
    void showsTheVerdictThatRejectedARequest() {
        List<String> rejected = List.of(
                "at=1000 level=info event=host-started host=h1",
                "at=7000 level=info event=part-rejected part=llm/dead generation=1 confidence=1 crashes=3",
                "at=7100 level=info event=part-rejected part=llm/beef generation=1 confidence=1 crashes=3",
                "at=9000 level=debug event=request-part-rejected requestId=r1 part=llm/dead",
                "at=9000 level=debug event=request-refused requestId=r1 code=quarantined verdict=not-run",
                "at=9002 level=info event=request-ended requestId=r1 status=503 whole=true");

        RequestTimeline timeline = builder(rejected, List.of()).build("r1");

        assertThat(timeline.knownStates().stream().map(state -> state.event().text("") + " " + state.ageMillis()))
                .containsExactly(
                        "host-started host=h1 8000",
                        "part-rejected part=llm/dead generation=1 confidence=1 crashes=3 2000");
    }

    /** Guards against state from before the last start of a host. */
    @Test
    void discardsStateFromBeforeHostStart() {
        List<String> restarted = List.of(
                "at=1000 level=info event=configuration-adopted version=9",
                "at=5000 level=info event=host-started host=h1",
                "at=6000 level=debug event=request-refused requestId=r1 code=no-endpoint");

        RequestTimeline timeline = builder(restarted, List.of()).build("r1");

        assertThat(timeline.knownStates().stream().map(state -> state.event().name()))
                .containsExactly("host-started");
    }

    /** Guards against lines that cannot be parsed because a log collector added the host as a prefix. */
    @Test
    void parsesLinesWithAndWithoutHostPrefix() {
        LogEvent plain = LogEvent.parse("at=5 level=info event=e key=a=b", "h1").orElseThrow();
        assertThat(plain.host()).isEqualTo("h1");
        assertThat(plain.field("key")).isEqualTo("a=b");

        LogEvent prefixed =
                LogEvent.parse("  12.5 h7 at=5 level=info event=e", "h1").orElseThrow();
        assertThat(prefixed.host()).isEqualTo("h7");

        assertThat(LogEvent.parse("look at=5", "h1")).isEqualTo(Optional.empty());
        assertThat(LogEvent.parse("", "h1")).isEqualTo(Optional.empty());
    }

    private static TimelineBuilder builder(List<String> first, List<String> second) {
        return new TimelineBuilder(receiver -> {
            first.forEach(line -> receiver.accept(LogEvent.parse(line, "h1").orElseThrow()));
            second.forEach(line -> receiver.accept(LogEvent.parse(line, "h2").orElseThrow()));
        });
    }

    private static List<String> names(List<LogEvent> events) {
        return events.stream().map(LogEvent::name).toList();
    }
}
