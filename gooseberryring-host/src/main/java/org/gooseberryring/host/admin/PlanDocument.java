package org.gooseberryring.host.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.FleetConfiguration;

/**
 * What a sheet or other changes would lead to, as {@code POST /admin/v1/plan} answers it.
 *
 * @param revision revision that the plan starts from
 * @param loads artifacts to load, by endpoint
 * @param unloads artifacts to unload, by endpoint
 */
public record PlanDocument(long revision, List<Move> loads, List<Move> unloads) {
    /** Returns the difference between the placements of two configurations. */
    public static PlanDocument of(FleetConfiguration before, FleetConfiguration after) {
        return new PlanDocument(before.revision(), added(before, after), added(after, before));
    }

    private static List<Move> added(FleetConfiguration from, FleetConfiguration to) {
        List<Move> moves = new ArrayList<>();
        to.placements().forEach((endpoint, artifacts) -> {
            TreeSet<Artifact> missing = new TreeSet<>(artifacts);
            from.placements().getOrDefault(endpoint, List.of()).forEach(missing::remove);
            missing.forEach(artifact -> moves.add(new Move(endpoint, artifact.toString())));
        });
        return moves;
    }

    /**
     * One artifact at one endpoint.
     *
     * @param endpoint identifier of the endpoint
     * @param artifact artifact in a version
     */
    public record Move(String endpoint, String artifact) {}
}
