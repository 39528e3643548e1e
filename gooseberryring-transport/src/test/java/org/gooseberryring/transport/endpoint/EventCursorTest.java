package org.gooseberryring.transport.endpoint;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EventCursorTest {
    private final EventCursor cursor = new EventCursor(OptionalLong.empty());

    /** Guards against a partial event that is joined with an event of another endpoint. */
    @Test
    void passesOnOnlyCompleteEvents() {
        assertThat(consume("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(cursor.pendingBytes()).isAtLeast(1L);
        assertThat(cursor.lastEventId()).isEqualTo("1");
        cursor.discardPartialEvent();
        assertThat(consume("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(cursor.pendingBytes()).isEqualTo(0L);
    }

    /** Guards against duplicate events when another endpoint resumes at an earlier event. */
    @Test
    void skipsEventsAlreadyReceivedByCaller() {
        consume("id: 4\ndata: a\n\n");
        assertThat(consume("id: 3\ndata: x\n\nid: 4\ndata: a\n\nid: 5\ndata: b\n\n"))
                .isEqualTo("id: 5\ndata: b\n\n");
    }

    /** Guards against a stream that starts from the beginning although its caller requested to resume it. */
    @Test
    void resumesAfterLastEventId() {
        EventCursor resumed = new EventCursor(OptionalLong.of(7));
        assertThat(resumed.lastEventId()).isEqualTo("7");
        ByteBuffer passed = resumed.consume(bytes("id: 7\ndata: a\n\nid: 8\ndata: b\n\n"));
        assertThat(text(passed)).isEqualTo("id: 8\ndata: b\n\n");
    }

    /** Guards against wrong parsing of CR LF line ends and of events without an identifier. */
    @Test
    void supportsBothLineEndsAndEventsWithoutIdentifier() {
        assertThat(consume("data: a\r\n\r\n: comment\n\n")).isEqualTo("data: a\r\n\r\n: comment\n\n");
        assertThat(cursor.lastEventId()).isNull();
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
