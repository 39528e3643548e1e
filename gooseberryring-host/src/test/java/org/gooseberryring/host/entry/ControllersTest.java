package org.gooseberryring.host.entry;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ControllersTest {
    private final Controllers controllers = new Controllers();

    /** Guards against an older statement on an endpoint that comes through the relays after a newer, direct one. */
    @Test
    void takesNoStatementThatIsOlderThanTheLastOne() {
        assertThat(controllers.isNews("e1", 3, 7)).isTrue();
        assertThat(controllers.isNews("e1", 3, 6)).isFalse();
        assertThat(controllers.isNews("e1", 2, 9)).isFalse();
        assertThat(controllers.isNews("e1", 4, 1)).isTrue();
        assertThat(controllers.isNews("e2", 1, 1)).isTrue();
    }

    /** Guards against requests for artifacts that go to a controller which was replaced or is silent. */
    @Test
    void namesTheLastControllerThatLives() {
        assertThat(controllers.heard("d1", "h1", 1, 0)).isTrue();
        assertThat(controllers.heard("d1", "h2", 2, 0)).isTrue();
        assertThat(controllers.heard("d1", "h1", 1, 10)).isFalse();
        assertThat(controllers.of(List.of("d1", "d2"), 100)).containsExactly("h2");
        controllers.heard(Map.of("h2", 9_000L), 10_000);
        assertThat(controllers.of(List.of("d1"), 10_000)).isEmpty();
    }
}
