package org.gooseberryring.coordination.residency;

import java.util.List;
import java.util.Set;

import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.EngineProfile;
import org.gooseberryring.state.ResidentModel;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EndpointLedgerTest {
    private static final EngineProfile ENGINE = ResidencyWorld.configuration()
            .services()
            .get(ResidencyWorld.SERVICE)
            .engine();

    private final EndpointLedger ledger = new EndpointLedger(registration(1, "m0"));

    /** Guards against a delayed registration with fewer models that makes used memory appear free. */
    @Test
    void registrationOnlyConfirmsTheEndOfALoad() {
        setStatus("m0");
        load("m1", OrderResult.ACCEPTED);
        long free = ledger.freeBytes(ENGINE);

        ledger.onRegistered(registration(1, "m1"));

        assertThat(ledger.isReady()).isTrue();
        assertThat(ledger.hasLoaded("m1")).isTrue();
        assertThat(ledger.freeBytes(ENGINE)).isEqualTo(free);
    }

    /** Guards against a load order while requests still use the memory of the model being unloaded. */
    @Test
    void registrationDoesNotCompleteAnUnload() {
        setStatus("m0", "m1");
        ArtifactOrder order = ledger.order(ArtifactOrder.Action.UNLOAD, "m1", null, 1);
        ledger.onOrderResult(order, OrderResult.ACCEPTED, 10);

        ledger.onRegistered(registration(1, "m0"));

        assertThat(ledger.isReady()).isFalse();
    }

    /** Guards against loading an adapter to a slot whose previous adapter still has requests in flight. */
    @Test
    void adapterInUseKeepsItsSlotUntilAStatusShowsItFree() {
        setStatus("m0");
        ArtifactOrder order = ledger.order(ArtifactOrder.Action.UNLOAD, "m0", "a1", 1);

        ledger.onOrderResult(order, OrderResult.ACCEPTED, 10);

        assertThat(ledger.isReady()).isFalse();
    }

    /** Guards against counting a loading adapter's slot as free, since a status lists loading adapters separately. */
    @Test
    void countsLoadingAdapters() {
        setStatus(List.of(new ResidentModel("m0", Set.of("a1"))), "m0");

        assertThat(ledger.adapterCount()).isEqualTo(1);
        assertThat(ledger.isExpecting("m0", "a1")).isTrue();

        ledger.onTick(1_000);
        assertThat(ledger.hasLoaded("m0", "a1")).isTrue();
    }

    /** Guards against a delayed order that a restarted endpoint accepts, since it counts orders from 0 again. */
    @Test
    void countsUnconfirmedLoadsOfAnEarlierStart() {
        setStatus("m0");
        load("m1", OrderResult.UNKNOWN);
        ledger.onRegistered(registration(2));
        setStatus();
        long total = ENGINE.memoryBytes();

        assertThat(ledger.freeBytes(ENGINE)).isEqualTo(total - EndpointLedger.bytes(ENGINE, "m1", 0));

        ledger.onTick(20_000);
        assertThat(ledger.freeBytes(ENGINE)).isEqualTo(total);
    }

    private void setStatus(String... models) {
        setStatus(List.of(), models);
    }

    private void setStatus(List<ResidentModel> incoming, String... models) {
        ledger.onStatus(new EndpointStatus("e0", 0, false, resident(models), incoming, Set.of()), 0);
    }

    private void load(String model, OrderResult result) {
        ArtifactOrder order = ledger.order(ArtifactOrder.Action.LOAD, model, null, 1);
        ledger.onOrderResult(order, result, 10);
    }

    private static EndpointRegistration registration(long born, String... models) {
        return new EndpointRegistration(
                "e0", ResidencyWorld.SERVICE, "10.0.0.1:80", "a", 64, false, 0, born, resident(models));
    }

    private static List<ResidentModel> resident(String... models) {
        return List.of(models).stream()
                .map(model -> new ResidentModel(model, Set.of()))
                .toList();
    }
}
