package org.gooseberryring.coordination.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.SheetRow;

/**
 * Adds replicas beyond the sheet where demand overloads endpoints, and removes them when the demand has dropped.
 *
 * <p>A replica is added only if the overload that it removes over the horizon exceeds the cost of the move. It is
 * removed only after a minimum age, and only if the others stay below a low-water mark well below the high-water mark
 * for adding. The two marks and the two means of the demand provide hysteresis, so that replicas are not added and
 * removed repeatedly.
 */
public final class ReplicaPolicy {
    private final ReplicaPolicySettings settings;
    private final Map<String, Long> addedAt = new HashMap<>();

    /** Creates a policy without any recorded replica ages. */
    public ReplicaPolicy(ReplicaPolicySettings settings) {
        this.settings = settings;
    }

    /**
     * Determines the placements to change.
     *
     * @param configuration current configuration
     * @param tracker demand for each model
     * @param now monotonic time in milliseconds
     * @return changed placements by endpoint, empty if no move is worth its cost
     */
    public List<Change> decide(FleetConfiguration configuration, DemandTracker tracker, long now) {
        Map<String, DemandTracker.Demand> demands = tracker.demands();
        Map<String, Integer> minimum = minimumReplicas(configuration);
        FleetLoad rising = new FleetLoad(
                configuration, m -> demands.containsKey(m) ? demands.get(m).rising() : 0, settings.highWater());
        FleetLoad falling = new FleetLoad(
                configuration, m -> demands.containsKey(m) ? demands.get(m).falling() : 0, settings.highWater());
        TreeSet<String> changed = new TreeSet<>();
        removeIdle(configuration, rising, falling, minimum, changed, now);
        for (int i = 0; i < settings.movesPerDecision(); i++) {
            if (!addBest(configuration, rising, minimum, changed, now)) {
                break;
            }
        }
        List<Change> changes = new ArrayList<>();
        for (String endpoint : changed) {
            changes.add(new Change.PutPlacements(endpoint, List.copyOf(rising.placed(endpoint))));
        }
        return changes;
    }

    private void removeIdle(
            FleetConfiguration configuration,
            FleetLoad rising,
            FleetLoad falling,
            Map<String, Integer> minimum,
            TreeSet<String> changed,
            long now) {
        for (String model : falling.models()) {
            for (String endpoint : new ArrayList<>(falling.holders(model))) {
                if (isRemovable(configuration, falling, minimum, model, endpoint, now)
                        && falling.shareWithout(model, endpoint) < settings.lowWater()) {
                    falling.remove(model, endpoint);
                    rising.remove(model, endpoint);
                    changed.add(endpoint);
                }
            }
        }
    }

    private boolean isRemovable(
            FleetConfiguration configuration,
            FleetLoad load,
            Map<String, Integer> minimum,
            String model,
            String endpoint,
            long now) {
        // The age of a replica that another controller has added counts from when it is first observed.
        long added = addedAt.computeIfAbsent(key(model, endpoint), k -> now);
        return now - added >= settings.minAgeMillis()
                && load.holders(model).size() > minimum.getOrDefault(model, 1)
                && !isPinned(configuration, model, endpoint)
                && leavesTwoDomains(load, model, endpoint);
    }

    private static boolean leavesTwoDomains(FleetLoad load, String model, String endpoint) {
        Set<String> before = new HashSet<>();
        Set<String> after = new HashSet<>();
        for (String holder : load.holders(model)) {
            before.add(load.domain(holder));
            if (!holder.equals(endpoint)) {
                after.add(load.domain(holder));
            }
        }
        return after.size() >= Math.min(2, before.size());
    }

    private boolean addBest(
            FleetConfiguration configuration,
            FleetLoad load,
            Map<String, Integer> minimum,
            TreeSet<String> changed,
            long now) {
        String bestModel = null;
        String bestTarget = null;
        double bestNet = 0;
        for (String model : overloadedModels(load)) {
            long bytes = load.bytes(load.unit(model));
            for (String target : load.endpoints()) {
                if (load.holders(model).contains(target)) {
                    continue;
                }
                boolean needsUnload = load.free(target) < bytes;
                if (needsUnload && !freeMemory(configuration, load, minimum, target, bytes, now, null)) {
                    continue;
                }
                double cost = settings.moveCost() * (needsUnload ? 2 : 1);
                double net = load.relief(model, target) * settings.horizonSeconds() - cost;
                if (net > bestNet || net == bestNet && net > 0 && load.share(target) < load.share(bestTarget)) {
                    bestNet = net;
                    bestModel = model;
                    bestTarget = target;
                }
            }
        }
        if (bestModel == null) {
            return false;
        }
        List<Artifact> unit = load.unit(bestModel);
        freeMemory(configuration, load, minimum, bestTarget, load.bytes(unit), now, changed);
        load.add(bestModel, bestTarget, unit);
        addedAt.put(key(bestModel, bestTarget), now);
        changed.add(bestTarget);
        return true;
    }

    /** Returns the models with a replica on an overloaded endpoint. */
    private static List<String> overloadedModels(FleetLoad load) {
        TreeSet<String> models = new TreeSet<>();
        for (String endpoint : load.endpoints()) {
            if (load.overload(endpoint) > 0) {
                load.placed(endpoint).forEach(a -> models.add(a.model()));
            }
        }
        return List.copyOf(models);
    }

    /**
     * Returns whether unloading extra replicas past their minimum age frees enough memory. Removes them if
     * {@code changed} is not null.
     */
    private boolean freeMemory(
            FleetConfiguration configuration,
            FleetLoad load,
            Map<String, Integer> minimum,
            String target,
            long bytes,
            long now,
            TreeSet<String> changed) {
        long free = load.free(target);
        TreeSet<String> models = new TreeSet<>();
        load.placed(target).forEach(a -> models.add(a.model()));
        for (String model : models) {
            if (free >= bytes) {
                break;
            }
            if (isRemovable(configuration, load, minimum, model, target, now)
                    && load.shareWithout(model, target) < settings.highWater()) {
                free += load.bytes(load.placed(target).stream()
                        .filter(a -> a.model().equals(model))
                        .toList());
                if (changed != null) {
                    load.remove(model, target);
                }
            }
        }
        return free >= bytes;
    }

    private static boolean isPinned(FleetConfiguration configuration, String model, String endpoint) {
        return configuration.sheet().stream()
                .anyMatch(
                        r -> r.artifact().model().equals(model) && r.endpoints().contains(endpoint));
    }

    private static Map<String, Integer> minimumReplicas(FleetConfiguration configuration) {
        Map<String, Integer> minimum = new HashMap<>();
        for (SheetRow row : configuration.sheet()) {
            minimum.merge(row.artifact().model(), row.replicas(), Math::max);
        }
        return minimum;
    }

    private static String key(String model, String endpoint) {
        return model + " " + endpoint;
    }
}
