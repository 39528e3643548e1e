package org.gooseberryring.host.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.FleetConfiguration;

/**
 * Effect of proposed changes on the placements; the response body of {@code POST /admin/v1/plan}.
 *
 * @param revision revision that the plan is based on
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
     * Load or unload of one artifact at one endpoint.
     *
     * @param endpoint identifier of the endpoint
     * @param artifact artifact with its version
     */
    public record Move(String endpoint, String artifact) {}
}
