package org.gooseberryring.transport.endpoint;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EventCursorTest {
    private final EventCursor cursor = new EventCursor(OptionalLong.empty());

    /** Guards against a partial event that is joined with one of another run. */
    @Test
    void passesOnWholeEventsOnly() {
        assertThat(take("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(cursor.inEvent()).isTrue();
        assertThat(cursor.lastEventId()).isEqualTo("1");
        cursor.restart();
        assertThat(take("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(cursor.inEvent()).isFalse();
    }

    /** Guards against events that come twice because another endpoint begins too early. */
    @Test
    void leavesOutEventsThatTheCallerHas() {
        take("id: 4\ndata: a\n\n");
        assertThat(take("id: 3\ndata: x\n\nid: 4\ndata: a\n\nid: 5\ndata: b\n\n"))
                .isEqualTo("id: 5\ndata: b\n\n");
    }

    /** Guards against a stream that starts over although its caller asked to go on after an event. */
    @Test
    void startsAfterTheEventThatTheCallerNames() {
        EventCursor resumed = new EventCursor(OptionalLong.of(7));
        assertThat(resumed.lastEventId()).isEqualTo("7");
        ByteBuffer passed = resumed.take(bytes("id: 7\ndata: a\n\nid: 8\ndata: b\n\n"));
        assertThat(text(passed)).isEqualTo("id: 8\ndata: b\n\n");
    }

    /** Guards against lines with carriage returns and events without an identifier. */
    @Test
    void readsBothLineEndsAndEventsWithoutIdentifier() {
        assertThat(take("data: a\r\n\r\n: comment\n\n")).isEqualTo("data: a\r\n\r\n: comment\n\n");
        assertThat(cursor.lastEventId()).isNull();
    }

    private String take(String text) {
        return text(cursor.take(bytes(text)));
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(ByteBuffer bytes) {
        return StandardCharsets.UTF_8.decode(bytes).toString();
    }
}
