package org.gooseberryring.coordination.route;

import java.util.ArrayList;
import java.util.List;

import org.gooseberryring.state.Artifact;

/**
 * Confirmed replicas of an artifact or plain service in this failure domain.
 *
 * @param wanted replicas that the configuration wants
 * @param others replicas that are still loaded; they serve only while no wanted one does
 */
record Replicas(ReplicaSet wanted, ReplicaSet others) {
    static Replicas of(Artifact artifact, List<EndpointState> holders) {
        List<EndpointState> wanted = new ArrayList<>();
        List<EndpointState> others = new ArrayList<>();
        for (EndpointState state : holders) {
            (state.isPlaced(artifact) ? wanted : others).add(state);
        }
        Replicas replicas = new Replicas(new ReplicaSet(), new ReplicaSet());
        replicas.wanted.replace(wanted);
        replicas.others.replace(others);
        return replicas;
    }

    /** Returns the set that serves now, or null if no replica is in service. */
    ReplicaSet inService() {
        if (wanted.hasInService()) {
            return wanted;
        }
        return others.hasInService() ? others : null;
    }

    /** Notes that a replica may have room again. */
    void freed(EndpointState state, boolean isWanted) {
        (isWanted ? wanted : others).freed(state);
    }
}
