package org.gooseberryring.coordination.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class StateExchangeTest {
    /** Bound for a change to reach all hosts while nothing fails, in milliseconds. */
    private static final long CONVERGENCE_MILLIS = 1_000;

    /** Time to recover from the loss of a relay, a cut or a restart, in milliseconds. */
    private static final long RECOVERY_MILLIS = 4_000;

    private static final String KEY = "k";

    /** Guards against a change that does not reach all hosts in time. */
    @Test
    void propagatesAChangeToAllHosts() {
        ExchangeWorld world = started(4, 5);
        world.node("d2-h03").publish(KEY, 7L);
        world.advance(CONVERGENCE_MILLIS);
        assertAllKnow(world, "d2-h03", 7L);
    }

    /** Guards against an entry that its host has removed but other hosts keep. */
    @Test
    void removesAnEntryFromAllHosts() {
        ExchangeWorld world = started(3, 3);
        world.node("d1-h02").publish(KEY, 1L);
        world.advance(CONVERGENCE_MILLIS);
        world.node("d1-h02").publish(KEY, null);
        world.advance(CONVERGENCE_MILLIS);
        assertAllKnow(world, "d1-h02", null);
    }

    /** Guards against notices that are lost or delivered more than once. */
    @Test
    void deliversANoticeToEachHostOnce() {
        ExchangeWorld world = started(3, 3);
        world.node("d0-h01").notice(5L);
        world.advance(5_000);
        for (ExchangeWorld.Node node : world.running()) {
            if (node != world.node("d0-h01")) {
                assertThat(node.notices("d0-h01")).containsExactly(5L);
            }
        }
    }

    /** Guards against a failure domain that receives no more updates because its relay has stopped. */
    @Test
    void replacesAStoppedRelay() {
        ExchangeWorld world = started(3, 4);
        world.kill("d0-h00");
        world.kill("d1-h00");
        world.advance(RECOVERY_MILLIS);
        world.node("d0-h02").publish(KEY, 3L);
        world.advance(CONVERGENCE_MILLIS);
        assertAllKnow(world, "d0-h02", 3L);
    }

    /** Guards against losing a host that cannot reach the running relay of its failure domain. */
    @Test
    void usesAnotherRelayIfTheFirstIsUnreachable() {
        ExchangeWorld world = started(2, 4);
        world.cut((from, to) -> from.host().equals("d0-h03") && to.host().equals("d0-h00"));
        world.advance(RECOVERY_MILLIS);
        world.node("d0-h03").publish(KEY, 9L);
        world.advance(2 * CONVERGENCE_MILLIS);
        assertAllKnow(world, "d0-h03", 9L);
        assertThat(world.node("d1-h02").exchange().ages(world.now()).get("d0-h03"))
                .isLessThan(1_000L);
    }

    /** Guards against missing updates between two failure domains that are connected only through a third one. */
    @Test
    void relaysThroughAThirdDomainIfTwoCannotReachEachOther() {
        ExchangeWorld world = started(3, 3);
        world.cut((from, to) -> !from.failureDomain().equals(to.failureDomain())
                && !from.failureDomain().equals("d1")
                && !to.failureDomain().equals("d1"));
        world.advance(15_000);
        world.node("d0-h02").publish(KEY, 4L);
        world.advance(2 * CONVERGENCE_MILLIS);
        assertAllKnow(world, "d0-h02", 4L);
        assertThat(world.node("d2-h01").exchange().ages(world.now()).get("d0-h02"))
                .isLessThan(1_500L);
    }

    /** Guards against a silent host that is considered live, and live hosts that are considered silent. */
    @Test
    void distinguishesSilentHostsFromUnchangedOnes() {
        ExchangeWorld world = started(3, 4);
        world.freeze("d2-h01", true);
        world.advance(1_500);
        for (ExchangeWorld.Node node : world.running()) {
            if (node == world.node("d2-h01")) {
                continue;
            }
            node.exchange().ages(world.now()).forEach((host, age) -> {
                if (host.equals("d2-h01")) {
                    assertWithMessage("age of the silent host").that(age).isGreaterThan(1_000L);
                } else {
                    assertWithMessage("age of " + host).that(age).isLessThan(1_000L);
                }
            });
        }
        world.freeze("d2-h01", false);
        world.advance(CONVERGENCE_MILLIS);
        assertThat(world.node("d0-h01").exchange().ages(world.now()).get("d2-h01"))
                .isLessThan(1_000L);
    }

    /** Guards against state of an earlier process that remains after a restart. */
    @Test
    void replacesTheStateOfARestartedHost() {
        ExchangeWorld world = started(3, 3);
        world.node("d1-h00").publish("old", 1L);
        world.advance(CONVERGENCE_MILLIS);
        world.kill("d1-h00");
        world.advance(200);
        world.restart("d1-h00");
        world.node("d1-h00").publish(KEY, 2L);
        world.advance(RECOVERY_MILLIS);
        assertAllKnow(world, "d1-h00", 2L);
        world.running().forEach(node -> assertThat(node.value("d1-h00", "old")).isNull());
    }

    /** Guards against messages that are rejected as old after a host was not listed in the store for a while. */
    @Test
    void reconnectsAHostThatIsListedAgain() {
        ExchangeWorld world = started(2, 3);
        world.advance(20_000);
        world.setListed("d0-h02", false);
        world.advance(2_000);
        world.setListed("d0-h02", true);
        world.advance(CONVERGENCE_MILLIS);
        world.node("d1-h01").publish(KEY, 6L);
        world.advance(CONVERGENCE_MILLIS);
        assertAllKnow(world, "d1-h01", 6L);
        assertThat(world.node("d0-h02").exchange().relay(world.now())).isEqualTo("d0-h00");
    }

    /** Guards against known values that regress and hosts that do not converge after cuts, stops and restarts. */
    @Property(tries = 40, seed = "8211", shrinking = ShrinkingMode.OFF)
    void convergesAfterRandomFaultsWithoutRegression(@ForAll long seed) {
        Random random = new Random(seed);
        ExchangeWorld world = started(2 + random.nextInt(3), 1 + random.nextInt(4));
        List<String> hosts = new ArrayList<>(new TreeSet<>(world.hosts()));
        long value = 0;
        for (int step = 0; step < 30; step++) {
            String host = hosts.get(random.nextInt(hosts.size()));
            String other = hosts.get(random.nextInt(hosts.size()));
            switch (random.nextInt(6)) {
                case 0 ->
                    world.cut(
                            (from, to) -> from.host().equals(host) || to.host().equals(other));
                case 1 ->
                    world.cut((from, to) -> from.failureDomain().equals("d0")
                            != to.failureDomain().equals("d0"));
                case 2 -> world.freeze(host, random.nextBoolean());
                case 3 -> world.kill(host);
                case 4 -> world.restart(host);
                default -> world.cut((from, to) -> false);
            }
            for (ExchangeWorld.Node node : world.running()) {
                node.publish(KEY, ++value);
            }
            world.advance(random.nextInt(1_500));
        }
        world.cut((from, to) -> false);
        hosts.forEach(host -> world.freeze(host, false));
        world.advance(RECOVERY_MILLIS);
        for (ExchangeWorld.Node node : world.running()) {
            node.publish(KEY, ++value);
        }
        world.advance(2 * CONVERGENCE_MILLIS);
        for (ExchangeWorld.Node node : world.running()) {
            assertThat(node.regressions()).isEqualTo(0);
            for (ExchangeWorld.Node known : world.running()) {
                assertThat(node.value(name(world, known), KEY)).isEqualTo(known.value(name(world, known), KEY));
            }
        }
    }

    /** Guards against a message rate of a host that grows with the size of the fleet. */
    @Test
    void messageRateOfAHostDoesNotGrowWithTheFleet() {
        for (int perDomain : new int[] {6, 20, 60}) {
            ExchangeWorld world = started(5, perDomain);
            world.running().forEach(ExchangeWorld.Node::takeSent);
            for (int second = 0; second < 5; second++) {
                long value = second;
                world.running().forEach(node -> node.publish(KEY, value));
                world.advance(1_000);
            }
            assertThat(world.node("d3-h05").takeSent()).isAtMost(5 * 6L);
            assertThat(world.node("d3-h00").takeSent()).isAtMost(5 * 6L * (perDomain + 4));
        }
    }

    private static ExchangeWorld started(int domains, int hostsPerDomain) {
        ExchangeWorld world = new ExchangeWorld(domains, hostsPerDomain);
        world.advance(RECOVERY_MILLIS);
        return world;
    }

    private static void assertAllKnow(ExchangeWorld world, String host, Long value) {
        for (ExchangeWorld.Node node : world.running()) {
            assertThat(node.value(host, KEY)).isEqualTo(value);
        }
    }

    private static String name(ExchangeWorld world, ExchangeWorld.Node node) {
        return world.hosts().stream()
                .filter(host -> world.node(host) == node)
                .findFirst()
                .orElseThrow();
    }

    /** Guards against a failure domain without candidates for its lease, because hosts that cannot act come first. */
    @Test
    void hostsThatDoNotCountLeaveTheirPlaceToLaterOnes() {
        StateExchange<String, String> exchange =
                new StateExchange<>(new ExchangeMember("h2", "d", 1), 1, ExchangeTimes.defaults(), 0);
        exchange.addOrUpdateMember(new ExchangeMember("h1", "d", 1));
        assertThat(exchange.isAmongFirst(1, host -> true, 0)).isFalse();
        assertThat(exchange.isAmongFirst(1, host -> !host.equals("h1"), 0)).isTrue();
    }
}
