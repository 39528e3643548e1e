package org.gooseberryring.coordination.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;

import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.FleetConfiguration;

/** Estimated load of each usable endpoint, assuming that the demand for a model is spread evenly over its replicas. */
final class FleetLoad {
    private final FleetConfiguration configuration;
    private final ArtifactCatalog catalog;
    private final ToDoubleFunction<String> demand;
    private final double highWater;
    private final SortedMap<String, TreeSet<Artifact>> placed = new TreeMap<>();
    private final Map<String, TreeSet<String>> holders = new HashMap<>();
    private final Map<String, Double> load = new HashMap<>();
    private final Map<String, Long> free = new HashMap<>();

    FleetLoad(FleetConfiguration configuration, ToDoubleFunction<String> demand, double highWater) {
        this.configuration = configuration;
        this.catalog = new ArtifactCatalog(configuration.models());
        this.demand = demand;
        this.highWater = highWater;
        for (Endpoint e : configuration.endpoints().values()) {
            if (ReplicaCount.isUsable(configuration, e)) {
                TreeSet<Artifact> artifacts =
                        new TreeSet<>(configuration.placements().getOrDefault(e.id(), List.of()));
                placed.put(e.id(), artifacts);
                free.put(e.id(), e.memoryBytes() - bytes(artifacts));
                models(artifacts).forEach(m -> holders(m).add(e.id()));
            }
        }
        placed.keySet().forEach(e -> load.put(e, 0.0));
        holders.forEach((model, endpoints) ->
                endpoints.forEach(e -> load.merge(e, demand.applyAsDouble(model) / endpoints.size(), Double::sum)));
    }

    Collection<String> endpoints() {
        return placed.keySet();
    }

    Collection<String> models() {
        return new TreeSet<>(holders.keySet());
    }

    TreeSet<String> holders(String model) {
        return holders.computeIfAbsent(model, k -> new TreeSet<>());
    }

    Set<Artifact> placed(String endpoint) {
        return placed.get(endpoint);
    }

    long free(String endpoint) {
        return free.get(endpoint);
    }

    double load(String endpoint) {
        return load.get(endpoint);
    }

    double capacity(String endpoint) {
        return configuration.endpoints().get(endpoint).maxConcurrency();
    }

    String domain(String endpoint) {
        return configuration.endpoints().get(endpoint).failureDomain();
    }

    double share(String endpoint) {
        return load(endpoint) / capacity(endpoint);
    }

    double demand(String model) {
        return demand.applyAsDouble(model);
    }

    /** Returns the number of requests by which an endpoint exceeds its high-water mark. */
    double overload(String endpoint) {
        return overload(endpoint, load(endpoint));
    }

    /** Returns the overload that one more replica of a model would remove, in requests. */
    double relief(String model, String target) {
        Set<String> present = holders(model);
        double each = demand(model) / (present.size() + 1);
        double change = demand(model) / present.size() - each;
        double relief = overload(target) - overload(target, load(target) + each);
        for (String e : present) {
            relief += overload(e) - overload(e, load(e) - change);
        }
        return relief;
    }

    /** Returns the largest share of concurrency used on any other endpoint with the model without this replica. */
    double shareWithout(String model, String endpoint) {
        Set<String> present = holders(model);
        double extra = demand(model) / (present.size() - 1) - demand(model) / present.size();
        double largest = 0;
        for (String e : present) {
            if (!e.equals(endpoint)) {
                largest = Math.max(largest, (load(e) + extra) / capacity(e));
            }
        }
        return largest;
    }

    /** Returns the artifacts of one replica of a model: the most frequent version and all adapters. */
    List<Artifact> unit(String model) {
        TreeMap<Artifact, Integer> versions = new TreeMap<>();
        TreeSet<Artifact> adapters = new TreeSet<>();
        for (String e : holders(model)) {
            for (Artifact a : placed.get(e)) {
                if (a.model().equals(model) && a.adapter() == null) {
                    versions.merge(a, 1, Integer::sum);
                } else if (a.model().equals(model)) {
                    adapters.add(a);
                }
            }
        }
        List<Artifact> unit = new ArrayList<>();
        versions.entrySet().stream()
                .max(Map.Entry.<Artifact, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .ifPresent(v -> unit.add(v.getKey()));
        unit.addAll(adapters);
        return unit;
    }

    long bytes(Collection<Artifact> artifacts) {
        return artifacts.stream()
                .filter(catalog::contains)
                .mapToLong(catalog::bytes)
                .sum();
    }

    void add(String model, String endpoint, List<Artifact> unit) {
        spread(model, -1);
        placed.get(endpoint).addAll(unit);
        free.merge(endpoint, -bytes(unit), Long::sum);
        holders(model).add(endpoint);
        spread(model, 1);
    }

    void remove(String model, String endpoint) {
        spread(model, -1);
        List<Artifact> removed = placed.get(endpoint).stream()
                .filter(a -> a.model().equals(model))
                .toList();
        removed.forEach(placed.get(endpoint)::remove);
        free.merge(endpoint, bytes(removed), Long::sum);
        holders(model).remove(endpoint);
        spread(model, 1);
    }

    private void spread(String model, int sign) {
        Set<String> present = holders(model);
        present.forEach(e -> load.merge(e, sign * demand(model) / present.size(), Double::sum));
    }

    private double overload(String endpoint, double requests) {
        return Math.max(0, requests - highWater * capacity(endpoint));
    }

    private static Set<String> models(Collection<Artifact> artifacts) {
        Set<String> models = new HashSet<>();
        artifacts.forEach(a -> models.add(a.model()));
        return models;
    }
}
