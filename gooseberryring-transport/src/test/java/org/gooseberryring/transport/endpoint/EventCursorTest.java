package org.gooseberryring.transport.endpoint;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class EventCursorTest {
    private static final long SEED = 4506;
    private static final int STREAMS = 40;
    private static final int EVENTS = 40;
    private static final String FIRST_ENDPOINT = "10.0.0.1:1";
    private static final String OTHER_ENDPOINT = "10.0.0.2:1";
    private static final int EVENT_CHARS = "id: 1\ndata: a\n\n".length();

    private final EventNumbering numbering = new EventNumbering();
    private final EventCursor cursor = new EventCursor(OptionalLong.empty(), numbering);

    /** Guards against a partial event that is joined with an event of another endpoint. */
    @Test
    void passesOnOnlyCompleteEvents() {
        assertThat(consume("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(cursor.pendingBytes()).isAtLeast(1L);
        assertThat(cursor.lastEventId()).isEqualTo("1");
        cursor.endAttempt();
        assertThat(consume("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(cursor.pendingBytes()).isEqualTo(0L);
    }

    /** Guards against duplicate events when another endpoint resumes at an earlier event. */
    @Test
    void skipsEventsAlreadyReceivedByCaller() {
        consume("id: 4\ndata: a\n\n");
        startAttempt();
        assertThat(consume("id: 3\ndata: x\n\nid: 4\ndata: a\n\nid: 5\ndata: b\n\n"))
                .isEqualTo("id: 5\ndata: b\n\n");
    }

    /** Guards against a stream that starts from the beginning although its caller requested to resume it. */
    @Test
    void resumesAfterLastEventId() {
        EventCursor resumed = new EventCursor(OptionalLong.of(7), numbering);
        assertThat(resumed.lastEventId()).isEqualTo("7");
        ByteBuffer passed = resumed.consume(bytes("id: 7\ndata: a\n\nid: 8\ndata: b\n\n"));
        assertThat(text(passed)).isEqualTo("id: 8\ndata: b\n\n");
    }

    /** Guards against wrong parsing of CR LF line ends, of comments and of events that name a version. */
    @Test
    void supportsBothLineEndsCommentsAndOtherFields() {
        String first = "id: 1\r\ndata: a\r\n\r\n";
        String second = ": part of the event\nweight-versions: 2\nid: 2\ndata: b\n\n";
        assertThat(consume(first + ": comment\n\n" + second)).isEqualTo(first + second);
        assertThat(cursor.lastEventId()).isEqualTo("2");
        assertThat(cursor.fault()).isNull();
    }

    /** Guards against bytes that no endpoint has meant as an event, and that reach the caller as one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "data: x\n\n",
                "id:\ndata: x\n\n",
                "id: seven\ndata: x\n\n",
                "id: -2\ndata: x\n\n",
                "id: 1234567890123456789\ndata: x\n\n",
                "id: 2\nid: 3\ndata: x\n\n",
                "id:  2\ndata: x\n\n",
                "id: 2 \ndata: x\n\n",
                "id: 2\u000b\ndata: x\n\n",
                "id: 2\n\n",
                "id: 2\nddata: x\n\n",
                "garbage\n\n",
                "id: 2\ndata: x\rid: 3\n\n",
                "id: 2\ndata: x\r\r\n\n",
                ": comment\rid: 3\ndata: x\n\n",
                " \nid: 2\ndata: x\n\n",
                "id: 2\n\u000b\ndata: x\n\n",
                "garbage\nid: 2\ndata: x\n\n",
                "\u0007\u0001id: 2\ndata: x\n\n",
                "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"
            })
    void dropsMalformedEventsAndAllThatFollow(String garbage) {
        for (EventCursor each : List.of(cursor, EventCursor.ofSingleRun(numbering))) {
            assertThat(text(each.consume(bytes("id: 1\ndata: a\n\n" + garbage + "id: 9\ndata: b\n\n"))))
                    .isEqualTo("id: 1\ndata: a\n\n");
            assertThat(each.fault()).isNotNull();
        }
        assertThat(cursor.lastEventId()).isEqualTo("1");
        startAttempt();
        assertThat(consume("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    }

    /** Guards against empty lines and comments that a caller takes for an event, also at the start of a response. */
    @Test
    void blocksWithoutAnEventAreNotPassedOn() {
        assertThat(consume("\n\r\n:\n\nid: 1\ndata: a\n\n\n\n: c\n: d\n\nid: 2\ndata: b\n\n\n"))
                .isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(cursor.pendingBytes()).isEqualTo(0L);
        assertThat(cursor.trace().emptyBlocks()).isEqualTo(7);
    }

    /** Guards against an event that comes twice, or after a later one, in a stream that no other endpoint may continue. */
    @Test
    void eventsOfASingleRunMustIncrease() {
        EventCursor single = EventCursor.ofSingleRun(numbering);

        assertThat(text(single.consume(bytes("id: 4\ndata: a\n\nid: 4\ndata: a\n\nid: 5\ndata: b\n\n"))))
                .isEqualTo("id: 4\ndata: a\n\n");
        assertThat(single.fault()).isNotNull();
        assertThat(single.lastEventId()).isNull();

        single.startAttempt(FIRST_ENDPOINT);
        assertThat(text(single.consume(bytes("id: 1\ndata: a\n\n")))).isEqualTo("id: 1\ndata: a\n\n");
    }

    /** Guards against garbage at any place of a stream that changes, joins or reorders the events before it. */
    @Test
    void garbageAtAnyPlaceLeavesOnlyWholeEventsInOrder() {
        String stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
        Random random = new Random(SEED);
        for (int at = 0; at <= stream.length(); at++) {
            byte[] garbage = new byte[1 + random.nextInt(40)];
            random.nextBytes(garbage);
            garbage[garbage.length / 2] = '\n';
            EventCursor each = EventCursor.ofSingleRun(numbering);
            String passed = new String(
                    each.consume(ByteBuffer.wrap(join(stream.substring(0, at), garbage, stream.substring(at))))
                            .array(),
                    StandardCharsets.ISO_8859_1);
            int events = at / EVENT_CHARS;
            assertThat(passed).startsWith(stream.substring(0, events * EVENT_CHARS));
            assertThat(passed.lines().filter(line -> line.startsWith("id: ")).toList())
                    .isInStrictOrder();
        }
    }

    /** Guards against a second run in the response of one endpoint that is joined with the first one. */
    @ParameterizedTest
    @ValueSource(strings = {"id: 1\ndata: B\n\n", "id: 2\ndata: B\n\n"})
    void eventsOfASecondRunAreNotJoinedWithTheFirst(String repeated) {
        String first = "id: 1\ndata: a\n\nid: 2\ndata: a\n\n";
        assertThat(consume(first + repeated + "id: 3\ndata: B\n\n")).isEqualTo(first);
        assertThat(cursor.fault()).isEqualTo(EventFault.REPEATED_ID);

        startAttempt();
        assertThat(consume("id: 1\ndata: a\n\n" + repeated.replace("2", "1") + "id: 3\ndata: B\n\n"))
                .isEmpty();
        assertThat(cursor.fault()).isEqualTo(EventFault.REPEATED_ID);
    }

    /** Guards against a hole in a stream that reaches the caller, on a service whose events follow each other. */
    @Test
    void missingEventEndsTheAttempt() {
        learn(STREAMS, 1);
        for (EventCursor each : List.of(cursor, EventCursor.ofSingleRun(numbering))) {
            assertThat(text(each.consume(bytes("id: 1\ndata: a\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"))))
                    .isEqualTo("id: 1\ndata: a\n\n");
            assertThat(each.fault()).isEqualTo(EventFault.MISSING_EVENT);
        }
        startAttempt();
        assertThat(consume("id: 2\ndata: b\n\nid: 3\ndata: c\n\n")).isEqualTo("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    }

    /** Guards against a stream that lacks its first events. */
    @Test
    void missingStartEndsTheAttempt() {
        learn(STREAMS, 1);
        assertThat(consume("id: 2\ndata: b\n\n")).isEmpty();
        assertThat(cursor.fault()).isEqualTo(EventFault.MISSING_EVENT);
    }

    /** Guards against a sound stream that is broken off, because two endpoints leave out the same id. */
    @Test
    void eventThatASecondEndpointGoesOnWithIsPassedOn() {
        learn(STREAMS, 1);
        cursor.startAttempt(FIRST_ENDPOINT);
        consume("id: 1\ndata: a\n\nid: 3\ndata: c\n\n");
        cursor.startAttempt(FIRST_ENDPOINT);
        assertThat(consume("id: 3\ndata: c\n\n")).isEmpty();
        startAttempt();
        assertThat(consume("id: 3\ndata: c\n\nid: 4\ndata: d\n\n")).isEqualTo("id: 3\ndata: c\n\nid: 4\ndata: d\n\n");
        assertThat(cursor.fault()).isNull();
    }

    /** Guards against sound streams that are broken off, on a service whose ids leave out numbers. */
    @Test
    void idsThatDoNotFollowEachOtherArePassedOn() {
        learn(STREAMS, 6);
        assertThat(consume("id: 1\ndata: a\n\nid: 7\ndata: b\n\nid: 20\ndata: c\n\n"))
                .isEqualTo("id: 1\ndata: a\n\nid: 7\ndata: b\n\nid: 20\ndata: c\n\n");
    }

    /** Guards against streams that are broken off for good, after a service has begun to number events otherwise. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 20, 38})
    void changedNumberingIsLearned(int eventsBeforeGap) {
        learn(10 * STREAMS, 1);
        int broken = 0;
        while (learnWithGap(eventsBeforeGap) != null) {
            broken++;
            assertThat(broken).isAtMost(10 * STREAMS);
        }
        assertThat(broken).isAtLeast(1);
        assertThat(learnWithGap(eventsBeforeGap)).isNull();
    }

    private void learn(int streams, long step) {
        for (int i = 0; i < streams; i++) {
            EventCursor earlier = started();
            for (int event = 0; event < EVENTS; event++) {
                earlier.consume(bytes("id: " + (1 + event * step) + "\ndata: x\n\n"));
            }
            earlier.endAttempt();
        }
    }

    /** Passes on a stream of a single run with one id left out, and returns its fault. */
    private EventFault learnWithGap(int eventsBeforeGap) {
        EventCursor earlier = started();
        for (int event = 1; event <= EVENTS; event++) {
            earlier.consume(bytes("id: " + (event > eventsBeforeGap ? event + 1 : event) + "\ndata: x\n\n"));
        }
        earlier.endAttempt();
        return earlier.fault();
    }

    private EventCursor started() {
        EventCursor earlier = EventCursor.ofSingleRun(numbering);
        earlier.startAttempt(FIRST_ENDPOINT);
        return earlier;
    }

    /** Starts an attempt at another endpoint. */
    private void startAttempt() {
        cursor.startAttempt(OTHER_ENDPOINT);
    }

    private static byte[] join(String before, byte[] garbage, String after) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        joined.writeBytes(before.getBytes(StandardCharsets.ISO_8859_1));
        joined.writeBytes(garbage);
        joined.writeBytes(after.getBytes(StandardCharsets.ISO_8859_1));
        return joined.toByteArray();
    }

    private String consume(String text) {
        return text(cursor.consume(bytes(text)));
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(ByteBuffer bytes) {
        return StandardCharsets.UTF_8.decode(bytes).toString();
    }
}
