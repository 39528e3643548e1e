package org.gooseberryring.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.SheetRow;

/**
 * Sequence of loads and unloads that leads from one configuration to the next.
 *
 * <p>Every model and adapter of the new sheet that has a replica at the start keeps at least one after each step. The
 * controllers of the failure domains determine the actual sequence from the confirmations of the endpoints; this plan
 * is a forecast for the operator.
 *
 * @param steps steps in the order in which they can be executed
 * @param blocked moves that need a temporary replica on another endpoint, since free memory is insufficient
 * @param totalMillis expected duration of the steps in milliseconds
 */
public record MovePlan(List<MoveStep> steps, List<MoveStep> blocked, long totalMillis) {
    public MovePlan {
        steps = List.copyOf(steps);
        blocked = List.copyOf(blocked);
    }

    /**
     * Returns the moves between two configurations.
     *
     * @param from configuration whose placements are assumed to be loaded
     * @param to configuration to reach
     * @param rate speed of the weight store
     */
    public static MovePlan between(FleetConfiguration from, FleetConfiguration to, WeightStoreRate rate) {
        return new Scheduler(from, to, rate).schedule();
    }

    private record Move(String endpoint, Artifact artifact) {}

    /** Executes in each round all moves that free memory and the remaining replicas allow. */
    private static final class Scheduler {
        private final FleetConfiguration to;
        private final ArtifactCatalog before;
        private final ArtifactCatalog after;
        private final WeightStoreRate rate;
        private final Map<String, Map<Artifact, Long>> loaded = new TreeMap<>();
        private final Map<String, Long> used = new HashMap<>();
        private final Map<String, Long> freedAt = new HashMap<>();
        private final Map<Unit, Set<Move>> replicas = new HashMap<>();
        private final Set<Artifact> inSheet = new HashSet<>();
        private final Set<Unit> needed = new HashSet<>();
        private final long[] slots;
        private final List<MoveStep> steps = new ArrayList<>();

        Scheduler(FleetConfiguration from, FleetConfiguration to, WeightStoreRate rate) {
            this.to = to;
            this.rate = rate;
            this.before = new ArtifactCatalog(from.models());
            this.after = new ArtifactCatalog(to.models());
            this.slots = new long[rate.concurrency()];
            for (SheetRow row : to.sheet()) {
                inSheet.add(row.artifact());
                needed.add(Unit.of(row.artifact()));
            }
            from.placements().forEach((endpoint, artifacts) -> artifacts.forEach(a -> addLoaded(endpoint, a, 0)));
        }

        MovePlan schedule() {
            List<Move> loads = new ArrayList<>();
            List<Move> unloads = new ArrayList<>();
            Set<String> ids = new TreeSet<>(loaded.keySet());
            ids.addAll(to.placements().keySet());
            for (String id : ids) {
                List<Artifact> required = to.placements().getOrDefault(id, List.of());
                Set<Artifact> present = loaded.getOrDefault(id, Map.of()).keySet();
                required.stream().filter(a -> !present.contains(a)).forEach(a -> loads.add(new Move(id, a)));
                present.stream().filter(a -> !required.contains(a)).forEach(a -> unloads.add(new Move(id, a)));
            }
            loads.sort(Comparator.<Move>comparingInt(m -> replicas(m.artifact()).isEmpty() ? 0 : 1)
                    .thenComparing(Move::artifact)
                    .thenComparing(Move::endpoint));
            unloads.sort(Comparator.comparing(Move::artifact).reversed().thenComparing(Move::endpoint));
            boolean progress = true;
            while (progress) {
                progress = loads.removeIf(this::load) | unloads.removeIf(this::unload);
            }
            List<MoveStep> blocked = new ArrayList<>();
            loads.forEach(m -> blocked.add(step(MoveStep.Kind.LOAD, m, 0, 0)));
            unloads.forEach(m -> blocked.add(step(MoveStep.Kind.UNLOAD, m, 0, 0)));
            long total = steps.stream().mapToLong(MoveStep::endMillis).max().orElse(0);
            steps.sort(Comparator.comparingLong(MoveStep::startMillis));
            return new MovePlan(steps, blocked, total);
        }

        private boolean load(Move move) {
            Endpoint endpoint = to.endpoints().get(move.endpoint());
            long bytes = after.bytes(move.artifact());
            long modelLoaded = modelLoadedAt(move);
            if (modelLoaded < 0 || used.getOrDefault(move.endpoint(), 0L) + bytes > endpoint.memoryBytes()) {
                return false;
            }
            int slot = 0;
            for (int i = 1; i < slots.length; i++) {
                slot = slots[i] < slots[slot] ? i : slot;
            }
            long start = Math.max(Math.max(slots[slot], modelLoaded), freedAt.getOrDefault(move.endpoint(), 0L));
            long end = start + rate.loadMillis();
            slots[slot] = Math.max(end, start + rate.slotIntervalMillis());
            addLoaded(move.endpoint(), move.artifact(), end);
            steps.add(step(MoveStep.Kind.LOAD, move, start, end));
            return true;
        }

        private boolean unload(Move move) {
            long at = loadedAt(move);
            if (needed.contains(Unit.of(move.artifact()))) {
                long otherLoadedAt = Long.MAX_VALUE;
                for (Move replica : replicas(move.artifact())) {
                    boolean same = replica.artifact().equals(move.artifact());
                    if (!replica.equals(move) && (same || inSheet.contains(replica.artifact()))) {
                        otherLoadedAt = Math.min(otherLoadedAt, loadedAt(replica));
                    }
                }
                if (otherLoadedAt == Long.MAX_VALUE) {
                    return false;
                }
                at = Math.max(at, otherLoadedAt);
            }
            if (move.artifact().adapter() == null && isRequiredByAdapters(move)) {
                return false;
            }
            loaded.get(move.endpoint()).remove(move.artifact());
            replicas(move.artifact()).remove(move);
            used.merge(move.endpoint(), -bytes(move.artifact()), Long::sum);
            freedAt.merge(move.endpoint(), at, Math::max);
            steps.add(step(MoveStep.Kind.UNLOAD, move, at, at));
            return true;
        }

        private boolean isRequiredByAdapters(Move move) {
            int versions = 0;
            boolean adapters = false;
            for (Artifact a : loaded.get(move.endpoint()).keySet()) {
                if (a.model().equals(move.artifact().model())) {
                    versions += a.adapter() == null ? 1 : 0;
                    adapters |= a.adapter() != null;
                }
            }
            return adapters && versions == 1;
        }

        /** Returns when the model of an adapter is loaded, 0 for a model, negative if the model is missing. */
        private long modelLoadedAt(Move move) {
            if (move.artifact().adapter() == null) {
                return 0;
            }
            long at = -1;
            for (Map.Entry<Artifact, Long> h :
                    loaded.getOrDefault(move.endpoint(), Map.of()).entrySet()) {
                if (h.getKey().adapter() == null
                        && h.getKey().model().equals(move.artifact().model())) {
                    at = Math.max(at, h.getValue());
                }
            }
            return at;
        }

        private void addLoaded(String endpoint, Artifact artifact, long at) {
            loaded.computeIfAbsent(endpoint, k -> new TreeMap<>()).put(artifact, at);
            used.merge(endpoint, bytes(artifact), Long::sum);
            replicas(artifact).add(new Move(endpoint, artifact));
        }

        private long loadedAt(Move move) {
            return loaded.get(move.endpoint()).get(move.artifact());
        }

        private long bytes(Artifact artifact) {
            return after.contains(artifact) ? after.bytes(artifact) : before.bytes(artifact);
        }

        private Set<Move> replicas(Artifact artifact) {
            return replicas.computeIfAbsent(Unit.of(artifact), k -> new HashSet<>());
        }

        private static MoveStep step(MoveStep.Kind kind, Move move, long start, long end) {
            return new MoveStep(kind, move.endpoint(), move.artifact(), start, end);
        }
    }

    private record Unit(String model, String adapter) {
        static Unit of(Artifact a) {
            return new Unit(a.model(), Objects.toString(a.adapter(), ""));
        }
    }
}
