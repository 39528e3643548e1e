package org.gooseberryring.coordination.route;

import java.util.ArrayList;
import java.util.List;

import org.gooseberryring.state.Artifact;

/**
 * Confirmed replicas of an artifact or plain service in this failure domain.
 *
 * @param placed replicas that the configuration places
 * @param others other replicas that are still loaded; they serve only while no placed one is in service
 */
record Replicas(ReplicaSet placed, ReplicaSet others) {
    static Replicas of(Artifact artifact, List<EndpointState> holders) {
        List<EndpointState> placed = new ArrayList<>();
        List<EndpointState> others = new ArrayList<>();
        for (EndpointState state : holders) {
            (state.isPlaced(artifact) ? placed : others).add(state);
        }
        Replicas replicas = new Replicas(new ReplicaSet(), new ReplicaSet());
        replicas.placed.replace(placed);
        replicas.others.replace(others);
        return replicas;
    }

    /** Returns the set that serves now, or null if no replica is in service. */
    ReplicaSet inService() {
        if (placed.hasInService()) {
            return placed;
        }
        return others.hasInService() ? others : null;
    }

    /** Handles a replica that may have free capacity again. */
    void onCapacityFreed(EndpointState state, boolean isPlacedReplica) {
        (isPlacedReplica ? placed : others).onCapacityFreed(state);
    }
}
