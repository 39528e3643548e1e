package org.gooseberryring.coordination.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryring.coordination.config.Fleets;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.Model;
import org.gooseberryring.state.SheetRow;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PlannerTest {
    private final Planner planner = new Planner();

    /**
     * Guards against overcommitted memory, adapters without their model, ignored pins, plans that differ between hosts,
     * and unnecessary moves.
     */
    @Property(tries = 300, seed = "20261204")
    void planRespectsMemoryPinsAndAdapters(@ForAll long seed) {
        Random random = new Random(seed);
        FleetConfiguration fleet = fleet(random);
        Plan plan = planner.plan(fleet);
        FleetConfiguration planned = DemandTrace.withPlacements(fleet, plan.placements());
        ArtifactCatalog catalog = new ArtifactCatalog(fleet.models());
        Map<Artifact, Integer> counts = ReplicaCount.of(planned);

        assertThat(planner.plan(fleet)).isEqualTo(plan);
        plan.placements().forEach((id, placed) -> {
            assertThat(placed.stream().mapToLong(catalog::bytes).sum())
                    .isAtMost(fleet.endpoints().get(id).memoryBytes());
            Set<String> models = new HashSet<>();
            placed.stream().filter(a -> a.adapter() == null).forEach(a -> models.add(a.model()));
            placed.forEach(a -> assertThat(models).contains(a.model()));
        });
        Set<Integer> faulty = new HashSet<>();
        plan.faults().forEach(f -> faulty.add(f.row()));
        for (int i = 0; i < fleet.sheet().size(); i++) {
            SheetRow row = fleet.sheet().get(i);
            if (!faulty.contains(i)) {
                assertThat(counts.getOrDefault(row.artifact(), 0)).isAtLeast(row.replicas());
                for (String pin : row.endpoints()) {
                    assertThat(plan.placements().get(pin)).contains(row.artifact());
                }
            }
        }
        if (plan.fits()) {
            assertThat(planner.plan(planned).loads()).isEqualTo(0);
        }
    }

    /** Guards against losing every replica of a model with one failure domain. */
    @Test
    void replicasSpreadOverFailureDomains() {
        FleetConfiguration fleet = Fleets.fleet();
        for (String model : List.of("m1", "m2")) {
            Set<String> domains = new HashSet<>();
            fleet.placements().forEach((id, placed) -> {
                if (placed.contains(new Artifact(model, null, "1"))) {
                    domains.add(fleet.endpoints().get(id).failureDomain());
                }
            });
            assertThat(domains.size()).isAtLeast(2);
        }
    }

    /** Guards against a sheet that is rejected without a reason. */
    @Test
    void everyRowThatDoesNotFitHasAReason() {
        FleetConfiguration fleet = withSheet(Fleets.fleet(), List.of(Fleets.row("m1", 9), Fleets.row("m2", 30)));

        Plan plan = planner.plan(fleet);

        assertThat(plan.faults().stream().map(RowFault::row)).containsExactly(0, 1);
        assertThat(plan.faults().get(0).reason()).contains("of 9 replicas; the next needs 40 bytes");
    }

    /** Guards against a plan without free memory to load a new version before the old one is unloaded. */
    @Test
    void planKeepsMemoryFreeForMakeBeforeBreak() {
        Plan plan = planner.plan(Fleets.fleet());

        assertThat(plan.reserveKept()).isTrue();
        for (String domain : List.of("d1", "d2", "d3")) {
            assertThat(Fleets.fleet().endpoints().values().stream()
                            .filter(e -> e.failureDomain().equals(domain))
                            .anyMatch(e -> e.memoryBytes()
                                            - plan.placements()
                                                            .getOrDefault(e.id(), List.of())
                                                            .size()
                                                    * 40L
                                    >= 40))
                    .isTrue();
        }
    }

    private static FleetConfiguration fleet(Random random) {
        TreeMap<String, FailureDomain> domains = new TreeMap<>();
        TreeMap<String, Endpoint> endpoints = new TreeMap<>();
        TreeMap<String, Model> models = new TreeMap<>();
        List<SheetRow> sheet = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            String domain = "d" + i % 3;
            domains.put(domain, new FailureDomain(domain, "r", i == 1 || random.nextInt(8) > 0));
            endpoints.put("e" + i, Fleets.engine("e" + i, domain, 60 + random.nextInt(60), i));
        }
        for (int i = 0; i < 6; i++) {
            models.put("m" + i, Fleets.model("m" + i, 10 + random.nextInt(40)));
            String pin = "e" + (1 + random.nextInt(8));
            boolean pinned = random.nextInt(4) == 0
                    && domains.get(endpoints.get(pin).failureDomain()).in();
            sheet.add(Fleets.row("m" + i, 1 + random.nextInt(3), pinned ? new String[] {pin} : new String[0]));
            if (random.nextBoolean()) {
                Artifact adapter = new Artifact("m" + i, "a", "1");
                sheet.add(new SheetRow(adapter, 1 + random.nextInt(2), List.of()));
            }
        }
        Collections.shuffle(sheet, random);
        TreeMap<String, List<Artifact>> present = new TreeMap<>();
        for (String id : endpoints.keySet()) {
            if (random.nextBoolean()) {
                present.put(id, List.of(new Artifact("m" + random.nextInt(6), null, "1")));
            }
        }
        return new FleetConfiguration(1, null, null, models, null, domains, endpoints, sheet, present);
    }

    private static FleetConfiguration withSheet(FleetConfiguration c, List<SheetRow> rows) {
        return new FleetConfiguration(
                c.revision(),
                c.organisations(),
                c.keys(),
                c.models(),
                c.services(),
                c.failureDomains(),
                c.endpoints(),
                rows,
                c.placements());
    }
}
