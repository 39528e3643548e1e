package org.gooseberryring.transport.endpoint;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EventMeterTest {
    private final EventMeter meter = new EventMeter();

    /** Guards against a long stream of complete events that is mistaken for one unbounded event. */
    @Test
    void countsOnlyBytesOfCurrentEvent() {
        for (int i = 0; i < 1_000; i++) {
            add("id: 1\ndata: x\n\n");
            add("id: 2\r\ndata: y\r\n\r\n");
            assertThat(meter.pendingBytes()).isEqualTo(0);
        }
    }

    /** Guards against an event whose end is missed or detected too early because it arrives in two reads. */
    @Test
    void countsEventAcrossBuffers() {
        add("id: 1\n");
        add("data: x\n");
        assertThat(meter.pendingBytes()).isEqualTo(14);
        add("\nid");
        assertThat(meter.pendingBytes()).isEqualTo(2);
    }

    /** Guards against bytes that are read twice or lost because counting moved the buffer position. */
    @Test
    void doesNotChangeBufferPosition() {
        ByteBuffer buffer = buffer("data: x\n");
        buffer.position(2);
        meter.add(buffer);
        assertThat(buffer.position()).isEqualTo(2);
        assertThat(meter.pendingBytes()).isEqualTo(6);
    }

    private void add(String text) {
        meter.add(buffer(text));
    }

    private static ByteBuffer buffer(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
