package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LateThreadLogTest {
    private static final String THREAD = "io-1";

    private final List<Long> logged = new ArrayList<>();
    private final LateThreadLog log = new LateThreadLog((thread, delayMillis) -> logged.add(delayMillis));

    /** Guards against late I/O threads that leave no trace, and against a line for each turn. */
    @Test
    void longDelayIsLoggedOnceASecond() {
        log.onDelay(THREAD, 299, 1_000);
        log.onDelay(THREAD, 300, 1_050);
        log.onDelay(THREAD, 900, 2_049);
        log.onDelay(THREAD, 800, 2_050);
        assertThat(logged).containsExactly(300L, 800L).inOrder();
    }
}
