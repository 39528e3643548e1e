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
 * Difference between two revisions, so that a small change of a large configuration costs little to pass on.
 *
 * @param fromRevision revision that the difference applies to
 * @param toRevision revision that it produces
 * @param changed objects that are new or different; the other fields are empty
 * @param removed identifiers that are gone, by the name of their field
 * @param sheetChanged whether the sheet of {@code changed} replaces the old one
 */
public record ConfigurationDelta(
        long fromRevision,
        long toRevision,
        FleetConfiguration changed,
        SortedMap<String, List<String>> removed,
        boolean sheetChanged) {

    /** Returns the difference that leads from one configuration to another. */
    public static ConfigurationDelta between(FleetConfiguration from, FleetConfiguration to) {
        SortedMap<String, List<String>> removed = new TreeMap<>();
        boolean sheetChanged = !from.sheet().equals(to.sheet());
        Diff diff = new Diff(from, to, removed);
        FleetConfiguration changed = new FleetConfiguration(
                to.revision(),
                diff.of("organisations", FleetConfiguration::organisations),
                diff.of("keys", FleetConfiguration::keys),
                diff.of("models", FleetConfiguration::models),
                diff.of("services", FleetConfiguration::services),
                diff.of("failureDomains", FleetConfiguration::failureDomains),
                diff.of("endpoints", FleetConfiguration::endpoints),
                sheetChanged ? to.sheet() : null,
                diff.of("placements", FleetConfiguration::placements));
        return new ConfigurationDelta(from.revision(), to.revision(), changed, removed, sheetChanged);
    }

    /**
     * Applies the difference.
     *
     * @throws IllegalArgumentException if the base has another revision than {@code fromRevision}
     */
    public FleetConfiguration applyTo(FleetConfiguration base) {
        if (base.revision() != fromRevision) {
            throw new IllegalArgumentException(
                    "Difference from revision " + fromRevision + " does not apply to " + base.revision());
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

    private record Diff(FleetConfiguration from, FleetConfiguration to, SortedMap<String, List<String>> removed) {
        <V> SortedMap<String, V> of(String field, Function<FleetConfiguration, SortedMap<String, V>> getter) {
            Map<String, V> before = getter.apply(from);
            Map<String, V> after = getter.apply(to);
            SortedMap<String, V> different = new TreeMap<>();
            after.forEach((id, value) -> {
                if (!Objects.equals(value, before.get(id))) {
                    different.put(id, value);
                }
            });
            List<String> gone = new ArrayList<>(before.keySet());
            gone.removeAll(after.keySet());
            if (!gone.isEmpty()) {
                removed.put(field, gone);
            }
            return different;
        }
    }
}
