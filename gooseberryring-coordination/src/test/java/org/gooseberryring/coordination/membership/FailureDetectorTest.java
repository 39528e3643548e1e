package org.gooseberryring.coordination.membership;

import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class FailureDetectorTest {
    private static final int SECOND = 1_000;
    private static final int HOSTS = 21;

    /** Guards against an undetected dead host, and against live hosts that are declared dead at 5% message loss. */
    @Property(tries = 20, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void detectsADeadHostAndNoLiveOnes(@ForAll long seed, @ForAll @IntRange(max = HOSTS - 1) int victim) {
        MembershipSimulation simulation = new MembershipSimulation(seed, HOSTS, 3, 0.05);
        simulation.run(10 * SECOND);
        simulation.kill("h" + victim);
        // A round over 6 peers of the failure domain takes 3.5 s and the suspicion 2 s; the rest is for the gossip.
        simulation.run(30 * SECOND);

        assertThat(simulation.countSeenAs("h" + victim, MemberState.DEAD)).isEqualTo(HOSTS - 1);
        int deaths = 0;
        for (int i = 0; i < HOSTS; i++) {
            deaths += i == victim ? 0 : simulation.countSeenAs("h" + i, MemberState.DEAD);
        }
        assertThat(deaths).isEqualTo(0);
    }

    /** Guards against a restarted host that stays dead because of the known state of its former process. */
    @Test
    void restartedHostIsAliveWithItsNewIncarnation() {
        MembershipSimulation simulation = new MembershipSimulation(3, HOSTS, 3, 0);
        simulation.run(5 * SECOND);
        simulation.kill("h4");
        simulation.run(30 * SECOND);
        simulation.restart("h4");
        simulation.run(20 * SECOND);

        assertThat(simulation.countSeenAs("h4", MemberState.ALIVE)).isEqualTo(HOSTS);
    }

    /** Guards against a partition of a failure domain that does not heal, as each side considers the other dead. */
    @Test
    void allHostsAreAliveAfterAPartitionHeals() {
        MembershipSimulation simulation = new MembershipSimulation(4, 12, 1, 0);
        simulation.run(5 * SECOND);
        simulation.cut((from, to) -> side(from) != side(to));
        simulation.run(60 * SECOND);
        assertThat(simulation.countSeenAs("h1", MemberState.DEAD)).isEqualTo(6);
        simulation.cut((from, to) -> false);
        simulation.run(60 * SECOND);

        for (int i = 0; i < 12; i++) {
            assertThat(simulation.countSeenAs("h" + i, MemberState.ALIVE)).isEqualTo(12);
        }
    }

    /** Guards against declaring a host dead because its link to one other host is broken. */
    @Test
    void indirectProbesKeepAHostWithOneBrokenLinkAlive() {
        MembershipSimulation simulation = new MembershipSimulation(5, 8, 1, 0);
        simulation.cut((from, to) -> from.equals("h1") && to.equals("h2") || from.equals("h2") && to.equals("h1"));
        simulation.run(60 * SECOND);

        assertThat(simulation.countSeenAs("h2", MemberState.ALIVE)).isEqualTo(8);
        assertThat(simulation.countSeenAs("h1", MemberState.ALIVE)).isEqualTo(8);
    }

    /** Guards against declaring a host dead after a pause shorter than the suspicion time. */
    @Test
    void suspectedHostRefutesTheSuspicion() {
        Member self = MembershipSimulation.member("h1", "d1", 1);
        MemberTable table = new MemberTable();
        FailureDetector detector = new FailureDetector(self, DetectorSettings.defaults(), table, new Random(1), 0);
        MemberTable other = new MemberTable();
        Member suspect = self.with(MemberState.SUSPECT);
        other.apply(self, 0);
        assertThat(other.apply(suspect, 1)).isTrue();

        detector.onProbe("h2", 7, "", List.of(suspect), 10);

        assertThat(detector.self().refutation()).isEqualTo(1);
        assertThat(other.apply(detector.self(), 11)).isTrue();
        assertThat(other.apply(suspect, 12)).isFalse();
        assertThat(other.get("h1").state()).isEqualTo(MemberState.ALIVE);
    }

    /** Guards against sending new work to a host that is shutting down. */
    @Test
    void leavingHostIsSeenAsLeaving() {
        MembershipSimulation simulation = new MembershipSimulation(6, HOSTS, 3, 0);
        simulation.run(5 * SECOND);
        simulation.leave("h0");
        simulation.run(3 * SECOND);

        assertThat(simulation.countSeenAs("h0", MemberState.LEAVING)).isEqualTo(HOSTS);
    }

    /** Guards against a message rate per host that grows with the number of hosts. */
    @Test
    void messageRatePerHostDoesNotGrowWithTheNumberOfHosts() {
        double few = messagesPerHostSecond(20);
        double many = messagesPerHostSecond(200);

        assertThat(few).isGreaterThan(1);
        assertThat(many).isLessThan(few * 1.1);
    }

    private static double messagesPerHostSecond(int hosts) {
        MembershipSimulation simulation = new MembershipSimulation(8, hosts, 1, 0);
        simulation.run(10 * SECOND);
        long before = simulation.messages();
        simulation.run(20 * SECOND);
        return (simulation.messages() - before) / 20.0 / hosts;
    }

    private static int side(String host) {
        return Integer.parseInt(host.substring(1)) % 2;
    }
}
