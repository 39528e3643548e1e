package org.gooseberryring.coordination.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;

import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.SheetRow;

/**
 * Difference between two revisions. Hosts exchange it so that a small change does not transfer a large configuration.
 *
 * @param fromRevision revision that the difference applies to
 * @param toRevision revision that it produces
 * @param changed added and changed objects; all other fields are empty
 * @param removed identifiers of removed objects by field name
 * @param sheetChanged whether the sheet of {@code changed} replaces the previous sheet
 */
public record ConfigurationDelta(
        long fromRevision,
        long toRevision,
        FleetConfiguration changed,
        SortedMap<String, List<String>> removed,
        boolean sheetChanged) {

    /** Returns the difference between two configurations. */
    public static ConfigurationDelta between(FleetConfiguration from, FleetConfiguration to) {
        SortedMap<String, List<String>> removed = new TreeMap<>();
        boolean sheetChanged = !from.sheet().equals(to.sheet());
        Comparison comparison = new Comparison(from, to, removed);
        FleetConfiguration changed = new FleetConfiguration(
                to.revision(),
                comparison.of("organisations", FleetConfiguration::organisations),
                comparison.of("keys", FleetConfiguration::keys),
                comparison.of("models", FleetConfiguration::models),
                comparison.of("services", FleetConfiguration::services),
                comparison.of("failureDomains", FleetConfiguration::failureDomains),
                comparison.of("endpoints", FleetConfiguration::endpoints),
                sheetChanged ? to.sheet() : null,
                comparison.of("placements", FleetConfiguration::placements));
        return new ConfigurationDelta(from.revision(), to.revision(), changed, removed, sheetChanged);
    }

    /**
     * Applies the difference.
     *
     * @throws IllegalArgumentException if the revision of the base is not {@code fromRevision}
     */
    public FleetConfiguration applyTo(FleetConfiguration base) {
        if (base.revision() != fromRevision) {
            throw new IllegalArgumentException(
                    "Delta from revision " + fromRevision + " cannot be applied to revision " + base.revision());
        }
        List<SheetRow> sheet = sheetChanged ? changed.sheet() : base.sheet();
        return new FleetConfiguration(
                toRevision,
                merge("organisations", base, FleetConfiguration::organisations),
                merge("keys", base, FleetConfiguration::keys),
                merge("models", base, FleetConfiguration::models),
                merge("services", base, FleetConfiguration::services),
                merge("failureDomains", base, FleetConfiguration::failureDomains),
                merge("endpoints", base, FleetConfiguration::endpoints),
                sheet,
                merge("placements", base, FleetConfiguration::placements));
    }

    private <V> SortedMap<String, V> merge(
            String field, FleetConfiguration base, Function<FleetConfiguration, SortedMap<String, V>> getter) {
        SortedMap<String, V> map = new TreeMap<>(getter.apply(base));
        map.putAll(getter.apply(changed));
        removed.getOrDefault(field, List.of()).forEach(map::remove);
        return map;
    }

    private record Comparison(FleetConfiguration from, FleetConfiguration to, SortedMap<String, List<String>> removed) {
        <V> SortedMap<String, V> of(String field, Function<FleetConfiguration, SortedMap<String, V>> getter) {
            Map<String, V> before = getter.apply(from);
            Map<String, V> after = getter.apply(to);
            SortedMap<String, V> changedValues = new TreeMap<>();
            after.forEach((id, value) -> {
                if (!Objects.equals(value, before.get(id))) {
                    changedValues.put(id, value);
                }
            });
            List<String> removedIds = new ArrayList<>(before.keySet());
            removedIds.removeAll(after.keySet());
            if (!removedIds.isEmpty()) {
                removed.put(field, removedIds);
            }
            return changedValues;
        }
    }
}
