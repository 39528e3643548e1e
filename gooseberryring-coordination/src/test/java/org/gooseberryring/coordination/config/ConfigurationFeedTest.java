package org.gooseberryring.coordination.config;

import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.gooseberryring.coordination.placement.Planner;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.Organisation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class ConfigurationFeedTest {
    private static final int SECOND = 1_000;

    /**
     * Guards against a change that is reverted, lost or applied twice, and against hosts that keep an old revision. The
     * faults are stale reads, reordered watches, restarts, lost replies, store outages and concurrent operators.
     */
    @Property(tries = 60, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void acceptedChangesReachEveryHostAndStay(@ForAll long seed) {
        Random random = new Random(seed);
        ConfigurationSimulation simulation = new ConfigurationSimulation(seed, 9, 3, 0.2);
        simulation.run(2 * SECOND);
        for (int i = 0; i < 60; i++) {
            simulation.store().setDown(random.nextInt(8) == 0);
            for (int operators = random.nextInt(4); operators > 0; operators--) {
                simulation.submit();
            }
            if (random.nextInt(6) == 0) {
                simulation.restartHost();
            }
            simulation.run(random.nextInt(2 * SECOND));
        }
        simulation.endFaults();
        // Pending commits are resolved within 60 s, delayed writes within 2 s. Then a change reaches all hosts in 15 s.
        simulation.run(61 * SECOND);
        simulation.submit();
        simulation.run(15 * SECOND);
        simulation.assertConsistent();
        assertThat(simulation.committed()).isGreaterThan(0);
    }

    /**
     * Guards against a store load that grows with the number of hosts, and against a load peak after an outage.
     *
     * <p>The limit is two polls and two watches per second in each of the 7 failure domains.
     */
    @ParameterizedTest
    @ValueSource(ints = {14, 70, 420})
    void storeCallsDoNotGrowWithTheNumberOfHosts(int hosts) {
        ConfigurationSimulation simulation = new ConfigurationSimulation(7, hosts, 7, 0);
        simulation.run(2 * SECOND);
        simulation.submit();
        simulation.run(120 * SECOND);
        simulation.store().setDown(true);
        simulation.run(300 * SECOND);
        simulation.store().setDown(false);
        int maxCallsPerSecond = 0;
        for (int second = 0; second < 60; second++) {
            int before = simulation.store().calls();
            simulation.run(SECOND);
            maxCallsPerSecond = Math.max(maxCallsPerSecond, simulation.store().calls() - before);
        }
        int before = simulation.store().calls();
        simulation.run(60 * SECOND);
        simulation.assertConsistent();

        assertThat(maxCallsPerSecond).isAtMost(7 * (2 + 2));
        assertThat(simulation.store().calls() - before).isAtMost(7 * 2 * 60 / 10 + 7 * 2);
    }

    /** Guards against peers that renew each other's confirmations, and so keep accepting keys, without the store. */
    @Test
    void peersDoNotConfirmEachOtherWithoutTheStore() {
        ConfigurationTracker tracker = new ConfigurationTracker();
        ConfigurationFeed feed = new ConfigurationFeed("h1", "d1", FeedSettings.defaults(), tracker, new Random(1), 1);
        tracker.adoptIfNewer(Fleets.fleet());
        long revision = tracker.revision();

        feed.onPeerConfirmation(revision, Long.MAX_VALUE, 1_000);
        assertThat(tracker.hasConfirmation()).isFalse();
        feed.onPeerConfirmation(revision, 400, 1_000);
        feed.onPeerConfirmation(revision, 5_000, 5_200);
        assertThat(tracker.confirmationAgeMillis(6_000)).isEqualTo(5_400);
        assertThat(tracker.isStale(900_600, 900_000)).isFalse();
        assertThat(tracker.isStale(900_601, 900_000)).isTrue();
    }

    /** Guards against a stale or delayed document that replaces a newer one or counts as a confirmation. */
    @Test
    void staleDocumentIsNeitherAdoptedNorAConfirmation() {
        FleetConfiguration first = Fleets.fleet();
        FleetConfiguration second = withOrganisation(first, "o2");
        ConfigurationTracker tracker = new ConfigurationTracker();
        ConfigurationFeed feed = new ConfigurationFeed("h1", "d1", FeedSettings.defaults(), tracker, new Random(1), 1);
        FeedEffect.Watch watch = (FeedEffect.Watch) feed.onTick(10_000).get(0);

        feed.onHead(2, new HeadDocument(second, List.of()), 10_001);
        List<FeedEffect> effects =
                feed.onStoreReply(watch.callId(), StoreOutcome.OK, 1, new HeadDocument(first, List.of()), 10_002);

        assertThat(effects).isEmpty();
        assertThat(tracker.current()).isEqualTo(second);
        assertThat(tracker.hasConfirmation()).isFalse();
    }

    /** Guards against a difference that does not reproduce the configuration that it was computed from. */
    @Test
    void deltaProducesTheTargetConfiguration() {
        FleetConfiguration first = Fleets.fleet();
        ConfigurationEditor editor = new ConfigurationEditor(new Planner());
        FleetConfiguration second = ((EditResult.Accepted) editor.apply(
                        withOrganisation(first, "o2"),
                        List.of(
                                new Change.RemoveOrganisation("bank"),
                                new Change.SetEndpointLeaving("e1", true),
                                new Change.ReplaceSheet(List.of(Fleets.row("m1", 1))))))
                .configuration();

        assertThat(ConfigurationDelta.between(first, second).applyTo(first)).isEqualTo(second);
    }

    private static FleetConfiguration withOrganisation(FleetConfiguration base, String id) {
        EditResult result = new ConfigurationEditor(new Planner())
                .apply(base, List.of(new Change.PutOrganisation(new Organisation(id, 1, 1, 1, null))));
        return ((EditResult.Accepted) result).configuration();
    }
}
