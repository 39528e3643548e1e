package org.gooseberryring.coordination.path;

import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class EndpointPathsTest {
    private static final int SEEDS = 10;

    /** Time from the loss of paths by which requests must be served again, as the platform allows. */
    private static final long CONTACT_MILLIS = 3_000;

    /** Requests of a host in each step of 50 ms: one in a second. */
    private static final double FEW_REQUESTS = 0.05;

    private final EndpointPaths paths = new EndpointPaths("a", new Random(1));

    /** Guards against hosts without paths that serve less often than the others, however many have lost theirs. */
    @ParameterizedTest
    @CsvSource({
        "2,1,1.0",
        "7,1,1.0",
        "7,4,1.0",
        "7,6,1.0",
        "7,4,0.3",
        "60,20,1.0",
        "60,59,1.0",
        "300,1,1.0",
        "300,100,1.0",
        "300,299,1.0"
    })
    void hostsWithoutPathsServeAsOftenAsTheOthers(int hosts, int cut, double share) {
        for (int seed = 0; seed < (hosts > 7 ? 1 : SEEDS); seed++) {
            PathWorld world = new PathWorld(seed, hosts, 11, seed % 2 == 0);
            world.run(2_000, FEW_REQUESTS);
            world.cut(cut, share);
            world.run(CONTACT_MILLIS, FEW_REQUESTS);
            Map<Boolean, PathWorld.Tally> tallies = world.run(6_000, FEW_REQUESTS);
            assertWithMessage("share served without paths, seed " + seed)
                    .that(tallies.get(true).servedShare())
                    .isAtLeast(2.0 / 3 * tallies.get(false).servedShare());
            world.heal();
            world.run(2_500, FEW_REQUESTS);
            assertWithMessage("requests that take the longer path after the cut, seed " + seed)
                    .that(world.run(2_000, FEW_REQUESTS).get(false).relayed())
                    .isEqualTo(0);
        }
    }

    /** Guards against checks while all paths are up, and against a check of all endpoints when one is gone. */
    @Test
    void oneLostEndpointCausesFewChecks() {
        PathWorld world = new PathWorld(1, 7, 1_000, true);
        world.run(5_000, 1);
        assertThat(world.takeChecks()).isEqualTo(0);
        world.kill("e1");
        world.run(60_000, 1);
        assertThat(world.takeChecks()).isAtMost(7 * 70);
    }

    /** Guards against requests that go through another host while the endpoint can be reached directly. */
    @Test
    void directPathIsUsedAgainAsSoonAsACheckSucceeds() {
        addReachingHost();
        paths.onEndpointAdded("e1", 0);
        paths.onConnectFailed("e1", 1_000);
        assertThat(paths.relay("e1", 1_000)).isEqualTo("h2");
        assertThat(paths.takeChecks(1_300)).containsExactly("e1");
        paths.onChecked("e1", true, 1_310);
        assertThat(paths.relay("e1", 1_310)).isNull();
        assertThat(paths.reach()).isEqualTo(OwnReach.ALL);
    }

    /** Guards against requests to hosts that are silent, isolated, busy, or do not reach the endpoint either. */
    @Test
    void unsuitableHostsAreNotAskedToPassRequestsOn() {
        addReachingHost();
        paths.onEndpointAdded("e1", 0);
        paths.onConnectFailed("e1", 0);
        assertThat(paths.relay("e1", 0)).isEqualTo("h2");
        paths.onRelayFailed("h2", "e1", RelayFailure.HOST_UNAVAILABLE, 0);
        assertThat(paths.relay("e1", 499)).isNull();
        assertThat(paths.relay("e1", 500)).isEqualTo("h2");
        paths.onRelayFailed("h2", "e1", RelayFailure.ENDPOINT_UNREACHABLE, 500);
        assertThat(paths.relay("e1", 600)).isNull();
        paths.setHostAges(Map.of("h2", 2_000L), 2_600);
        assertThat(paths.relay("e1", 2_600)).isNull();
        paths.onHostReport("h2", new HostReach("a", "h2:1", 1, true, Set.of()), 2_700);
        assertThat(paths.relay("e1", 2_700)).isNull();
        paths.onHostReport("h2", new HostReach("a", "h2:1", 1, false, Set.of("e1")), 2_800);
        assertThat(paths.relay("e1", 2_800)).isNull();
    }

    /** Guards against an endpoint that counts as lost for all because this host has lost its own paths. */
    @Test
    void isolatedHostBlamesNoEndpointWithoutAnotherHost() {
        addReachingHost();
        paths.onEndpointAdded("e1", 0);
        paths.onEndpointAdded("e2", 0);
        paths.onConnectFailed("e1", 0);
        assertThat(paths.isLost("e1", 0)).isTrue();
        paths.onChecked("e2", false, 400);
        assertThat(paths.isIsolated()).isTrue();
        assertThat(paths.isLost("e1", 400)).isFalse();
        paths.onRelayFailed("h2", "e1", RelayFailure.ENDPOINT_UNREACHABLE, 500);
        assertThat(paths.isLost("e1", 500)).isTrue();
        assertThat(paths.isLost("e2", 500)).isFalse();
    }

    private void addReachingHost() {
        paths.onHostReport("h2", new HostReach("a", "h2:1", 1, false, Set.of()), 0);
    }
}
