package org.gooseberryring.host.entry;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ControllersTest {
    private final Controllers controllers = new Controllers();

    /** Guards against requests for artifacts that are sent to a controller that was replaced or is unreachable. */
    @Test
    void returnsTheLastControllerWhileItIsAlive() {
        assertThat(controllers.recordController("d1", "h1", 1, 0)).isTrue();
        assertThat(controllers.recordController("d1", "h2", 2, 0)).isTrue();
        assertThat(controllers.recordController("d1", "h1", 1, 10)).isFalse();
        assertThat(controllers.isController("d1", "h1", 1)).isFalse();
        assertThat(controllers.isController("d1", "h2", 2)).isTrue();
        assertThat(controllers.alive(List.of("d1", "d2"), 100)).containsExactly("h2");
        controllers.updateAges(Map.of("h2", 9_000L), 10_000);
        assertThat(controllers.alive(List.of("d1"), 10_000)).isEmpty();
    }
}
