package org.gooseberryring.coordination.limit;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class QuotaLedgerTest {
    private static final LimitSettings SETTINGS = new LimitSettings(3_000, 40_000, 2, 200, 100, 20, 100);

    private final LimitSimulation simulation =
            new LimitSimulation(5, SETTINGS, LimitSimulation.Faults.NONE, 6_000, 12_000);

    /** Guards against a leaving keeper whose share of the rate cannot be used until the reclaim time has passed. */
    @Test
    void leavingKeeperHandsOverItsQuotas() {
        simulation.run(15_000);
        assertThat(simulation.allotted("host-1").rate()).isEqualTo(1_000);
        simulation.hosts().get(1).request(500, 500, 10_000);
        simulation.hosts().get(1).leave();
        simulation.run(15_000);

        assertThat(simulation.allotted("host-1")).isNull();
        assertThat(simulation.hosts().get(1).isHandedOver()).isTrue();
        assertThat(simulation.allotted("host-4").rate()).isEqualTo(1_200);
        assertThat(simulation.totalRate()).isEqualTo(6_000);
    }

    /** Guards against a dead keeper's quota that is reassigned too early or never. */
    @Test
    void deadKeeperIsReclaimedAfterTheReclaimTime() {
        simulation.run(15_000);
        simulation.hosts().get(1).kill();
        simulation.run(30_000);
        assertThat(simulation.allotted("host-1").rate()).isEqualTo(1_000);
        simulation.run(25_000);

        assertThat(simulation.allotted("host-1")).isNull();
        assertThat(simulation.totalRate()).isEqualTo(6_000);
    }

    /** Guards against refusals for a new organisation after the host that created its quotas is lost. */
    @Test
    void newOrganisationIsServedAfterLossOfItsFirstKeeper() {
        while (simulation.totalRate() == 0) {
            simulation.run(10);
        }
        LimitSimulation.Host firstKeeper = simulation.hosts().stream()
                .filter(host -> simulation.allotted(host.name()) != null)
                .findFirst()
                .orElseThrow();
        simulation.run(2_000);

        firstKeeper.kill();
        simulation.run(100);
        simulation.hosts().stream()
                .filter(host -> host != firstKeeper && !host.keepers().isEmpty())
                .forEach(host -> host.request(100, 100, 100));
        simulation.run(2_000);

        assertThat(simulation.refused()).isEqualTo(0);
    }

    /**
     * Guards against a host that refuses all requests for a long time because it read the quota document before it
     * contained any quotas.
     */
    @Test
    void allHostsReadTheKeepersOfANewOrganisationSoon() {
        simulation.run(8_000);

        simulation.hosts().forEach(host -> assertThat(host.keepers()).isNotEmpty());
    }

    /** Guards against limits that stop admitting, or stop lending, while the store is down. */
    @Test
    void storeOutageKeepsQuotasAndAdmission() {
        simulation.run(15_000);
        simulation.store(FakeQuotaStore.Mode.DOWN);
        for (int i = 0; i < 100; i++) {
            // 5,000 tokens per second at one host, whose own keeper has a quota of 1,000.
            simulation.hosts().get(6).request(500, 500, 100);
            simulation.run(100);
        }
        assertThat(simulation.refused()).isEqualTo(0);

        simulation.store(FakeQuotaStore.Mode.UP);
        simulation.reconfigure(3_000, 12_000);
        simulation.run(20_000);
        assertThat(simulation.totalRate()).isEqualTo(3_000);
    }
}
