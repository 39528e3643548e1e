package org.gooseberryring.coordination.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gooseberryring.coordination.config.ConfigurationEditor;
import org.gooseberryring.coordination.config.EditResult;
import org.gooseberryring.coordination.config.Fleets;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.FleetConfiguration;

import static com.google.common.truth.Truth.assertThat;

class MovePlanTest {
    /** Guards against steps that overcommit memory, unload the last replica, or overload the weight store. */
    @Property(tries = 200, seed = "20261204")
    void everyStepKeepsAReplicaAndFits(
            @ForAll @IntRange(min = 1, max = 3) int replicas1,
            @ForAll @IntRange(min = 1, max = 3) int replicas2,
            @ForAll @IntRange(min = 1, max = 6) int pin1,
            @ForAll @IntRange(min = 1, max = 6) int pin2) {
        FleetConfiguration from = Fleets.fleet();
        EditResult result = new ConfigurationEditor(new Planner())
                .apply(
                        from,
                        List.of(new Change.ReplaceSheet(List.of(
                                Fleets.row("m1", replicas1, "e" + pin1), Fleets.row("m2", replicas2, "e" + pin2)))));
        FleetConfiguration to = ((EditResult.Accepted) result).configuration();
        WeightStoreRate rate = new WeightStoreRate(0.5, 2, 3_000);

        MovePlan plan = MovePlan.between(from, to, rate);

        assertThat(plan.blocked()).isEmpty();
        Map<String, Set<Artifact>> loaded = new HashMap<>();
        from.placements().forEach((id, artifacts) -> loaded.put(id, new TreeSet<>(artifacts)));
        ArtifactCatalog catalog = new ArtifactCatalog(to.models());
        for (MoveStep step : plan.steps()) {
            Set<Artifact> artifacts = loaded.computeIfAbsent(step.endpoint(), k -> new TreeSet<>());
            if (step.kind() == MoveStep.Kind.LOAD) {
                artifacts.add(step.artifact());
                assertThat(artifacts.stream().mapToLong(catalog::bytes).sum()).isAtMost(100);
                assertThat(plan.steps().stream()
                                .filter(s -> s.kind() == MoveStep.Kind.LOAD
                                        && s.startMillis() <= step.startMillis()
                                        && s.endMillis() > step.startMillis())
                                .count())
                        .isAtMost(rate.concurrency());
            } else {
                artifacts.remove(step.artifact());
                Set<Artifact> remaining = new HashSet<>();
                loaded.values().forEach(remaining::addAll);
                assertThat(remaining).contains(step.artifact());
            }
        }
        loaded.values().removeIf(Set::isEmpty);
        Map<String, Set<Artifact>> expected = new HashMap<>();
        to.placements().forEach((id, artifacts) -> expected.put(id, new TreeSet<>(artifacts)));
        assertThat(loaded).isEqualTo(expected);
    }
}
