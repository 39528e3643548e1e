package org.gooseberryring.host.entry;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PauseWatchTest {
    private static final long MAX_MILLIS = 2_000;

    private final PauseWatch watch = new PauseWatch(1_000);

    /** Guards against a grace that begins when a late signal is handled, whether the timer or the handler runs first. */
    @Test
    void signalMayHaveComeAtTheBeginOfThePause() {
        watch.tick(1_025);
        assertThat(watch.earliestSignal(2_200, MAX_MILLIS)).isEqualTo(1_025);

        watch.tick(2_225);
        assertThat(watch.earliestSignal(2_400, MAX_MILLIS)).isEqualTo(1_025);
    }

    /** Guards against one short pause that hides a long one directly before it. */
    @Test
    void signalMayHaveComeInTheFirstOfSeveralPauses() {
        watch.tick(2_000);
        watch.tick(2_150);

        assertThat(watch.earliestSignal(2_160, MAX_MILLIS)).isEqualTo(1_000);
    }

    /** Guards against a grace that is cut short by a pause long before the signal, or by a very long one. */
    @Test
    void oldAndVeryLongPausesAreLimited() {
        watch.tick(1_900);
        for (long now = 1_925; now <= 2_425; now += 25) {
            watch.tick(now);
        }
        assertThat(watch.earliestSignal(2_430, MAX_MILLIS)).isEqualTo(2_430);
        assertThat(watch.earliestSignal(9_000, MAX_MILLIS)).isEqualTo(7_000);
    }
}
