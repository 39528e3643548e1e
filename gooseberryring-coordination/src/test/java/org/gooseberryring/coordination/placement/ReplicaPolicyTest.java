package org.gooseberryring.coordination.placement;

import java.util.List;
import java.util.TreeMap;

import org.gooseberryring.coordination.config.Fleets;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.FleetConfiguration;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ReplicaPolicyTest {
    private static final Artifact M1 = new Artifact("m1", null, "1");
    private static final long MINUTE = 60_000;

    private final ReplicaPolicy policy = new ReplicaPolicy(ReplicaPolicySettings.defaults());
    private final DemandTracker tracker = new DemandTracker();
    private FleetConfiguration fleet = Fleets.fleet();

    /** Guards against a policy that ignores a tenfold rise, and against repeatedly adding and removing replicas. */
    @Test
    void addsReplicasOnARiseAndKeepsThemDuringAShortDrop() {
        int before = replicas();
        run(0, 30, 3);
        assertThat(replicas()).isEqualTo(before);
        run(30, 60, 30);
        int risen = replicas();
        assertThat(risen).isGreaterThan(before);
        run(60, 63, 3);
        assertThat(replicas()).isEqualTo(risen);
        run(63, 200, 3);
        assertThat(replicas()).isEqualTo(before);
    }

    /** Guards against a move whose cost exceeds its benefit. */
    @Test
    void smallOverloadCausesNoMove() {
        run(0, 60, 2 * 8 * 0.8 + 0.2);

        assertThat(replicas()).isEqualTo(2);
    }

    private void run(int from, int to, double demand) {
        for (int minute = from; minute < to; minute++) {
            tracker.observe("m1", demand, minute * MINUTE);
            TreeMap<String, List<Artifact>> placements = new TreeMap<>(fleet.placements());
            for (Change change : policy.decide(fleet, tracker, minute * MINUTE)) {
                Change.PutPlacements put = (Change.PutPlacements) change;
                placements.put(put.endpoint(), put.artifacts());
            }
            fleet = DemandTrace.withPlacements(fleet, placements);
        }
    }

    private int replicas() {
        return ReplicaCount.of(fleet).get(M1);
    }
}
