package org.gooseberryring.coordination.order;

import java.util.List;
import java.util.Set;

import org.gooseberryring.state.Artifact;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class ReservationLedgerTest {
    private static final Artifact X = new Artifact("x", null, "1");
    private static final Artifact Y = new Artifact("y", null, "1");
    private static final long MEMORY = 100;

    /**
     * Guards against memory that is assigned twice: to a loaded artifact and to one that a lost order may still load.
     */
    @Test
    void reservedMemoryCoversLoadedArtifactsAndOpenLoadOrders() {
        LedgerDocument ledger = new LedgerDocument(
                "s",
                "e",
                List.of(new LoadedArtifact(X, 60)),
                List.of(load(1, X, 60), load(2, Y, 30), order(3, Order.Action.UNLOAD, X, 60)));

        assertThat(ReservationLedger.reservedBytes(ledger)).isEqualTo(90);
        assertThat(ReservationLedger.isConfirmed(ledger, X)).isFalse();
        assertThat(ReservationLedger.fits(ledger, new Artifact("z", null, "1"), 11, MEMORY))
                .isFalse();
        assertThat(ReservationLedger.fits(ledger, Y, 30, MEMORY)).isTrue();
    }

    /** Guards against a reservation that ends while its order may still arrive or is being executed. */
    @Test
    void orderIsKeptWhileItMayArriveOrIsPending() {
        LedgerDocument ledger =
                new LedgerDocument("s", "e", List.of(), List.of(load(1, X, 60), load(2, Y, 30), load(3, Y, 30)));
        EndpointReport report = new EndpointReport("e", 1, Set.of(Y), Set.of("1-1"), 90, 50);

        LedgerDocument after = ReservationLedger.applyReport(ledger, report, "t", id -> id.sequence() == 2, a -> -1);

        assertThat(after.orders()).containsExactly(load(1, X, 60), load(2, Y, 30));
        assertThat(after.loaded()).containsExactly(new LoadedArtifact(Y, 30));
        assertThat(ReservationLedger.applyReport(after, report, "u", id -> id.sequence() == 2, a -> -1))
                .isSameInstanceAs(after);
    }

    /** Guards against ignoring the memory of an artifact that is no longer in any configuration. */
    @Test
    void unknownArtifactIsAssignedTheRemainingMemoryInUse() {
        EndpointReport report = new EndpointReport("e", 1, Set.of(X, Y), Set.of(), 95, 50);

        LedgerDocument after = ReservationLedger.applyReport(
                ReservationLedger.empty("e"), report, "t", id -> false, a -> a.equals(X) ? 60 : -1);

        assertThat(ReservationLedger.reservedBytes(after)).isEqualTo(95);
    }

    /**
     * Shows why engines compare both term and sequence: only this rejects an order that arrives after the maximum
     * delay, when the ledger has already assigned its memory to another order of the same term.
     */
    @ParameterizedTest
    @CsvSource({"IGNORED, 120", "TERM, 120", "TERM_AND_SEQUENCE, 60"})
    void orderArrivingAfterMaxDelayIsRejectedOnlyByTermAndSequence(SimulatedEngine.Fencing fencing, long used) {
        SimulatedEngine engine = new SimulatedEngine("e", MEMORY, fencing);
        Order delayed = load(5, X, 60);
        LedgerDocument ledger = ReservationLedger.withOrder(ReservationLedger.empty("e"), "s", delayed);
        assertThat(ReservationLedger.fits(ledger, Y, 60, MEMORY)).isFalse();

        ledger = ReservationLedger.applyReport(ledger, engine.report(1), "t", id -> false, a -> -1);
        assertThat(ReservationLedger.fits(ledger, Y, 60, MEMORY)).isTrue();
        deliver(engine, load(9, Y, 60));
        deliver(engine, delayed);

        assertThat(engine.used()).isEqualTo(used);
    }

    private static void deliver(SimulatedEngine engine, Order order) {
        if (engine.accepts(order)) {
            engine.startLoad(order);
        }
    }

    private static Order load(long sequence, Artifact artifact, long bytes) {
        return order(sequence, Order.Action.LOAD, artifact, bytes);
    }

    private static Order order(long sequence, Order.Action action, Artifact artifact, long bytes) {
        return new Order(new OrderId(1, sequence), action, artifact, bytes);
    }
}
