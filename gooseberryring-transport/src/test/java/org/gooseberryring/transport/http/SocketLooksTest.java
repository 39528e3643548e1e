package org.gooseberryring.transport.http;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SocketLooksTest {
    /** Guards against requests that count as old on a thread that waits for them. */
    @Test
    void bytesAtAThreadInTimeHaveNotWaited() {
        SocketLooks looks = SocketLooks.none(1_000).afterLook(1_050).afterLook(1_100);
        assertThat(looks.waitMillis(1_101)).isEqualTo(0);
        assertThat(looks.waitMillis(1_150)).isEqualTo(0);
    }

    /** Guards against bytes that count as new because the look that found them was just asked for. */
    @Test
    void theLookThatMayHaveFoundTheBytesDoesNotBoundTheirWait() {
        SocketLooks looks = SocketLooks.none(1_000).afterLook(1_050).afterLook(2_250);
        assertThat(looks.waitMillis(2_260)).isAtLeast(2_250 - 1_050 - 100);
    }

    /** Guards against a wait that is counted after the thread has caught up. */
    @Test
    void oneMoreLookEndsTheWait() {
        SocketLooks looks = SocketLooks.none(1_000).afterLook(2_250).afterLook(2_300);
        assertThat(looks.waitMillis(2_310)).isEqualTo(0);
    }

    /** Guards against the bytes that come while a process does not run at all. */
    @Test
    void stoppedProcessHasLetBytesWait() {
        SocketLooks looks = SocketLooks.none(1_000).afterLook(1_050);
        assertThat(looks.waitMillis(6_050)).isAtLeast(4_900);
    }
}
