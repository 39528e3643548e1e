package org.gooseberryring.coordination.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Endpoints of this failure domain that can serve one artifact or plain service. */
final class ReplicaSet {
    private static final EndpointState[] NONE = {};

    /** Random samples before a scan of all replicas; if half of them are free, 4 samples miss in 1 of 16 cases. */
    private static final int SAMPLES = 4;

    /** A prefix hint is used only if its load is at most this multiple of the load of the random choice. */
    private static final double AFFINITY_LOAD_FACTOR = 1.25;

    private EndpointState[] replicas = NONE;
    private boolean full;
    private EndpointState lastFreed;

    void replace(List<EndpointState> states) {
        replicas = new ArrayList<>(states).toArray(NONE);
        full = false;
        lastFreed = null;
    }

    /** Handles a replica that may have free capacity again. */
    void onCapacityFreed(EndpointState state) {
        full = false;
        lastFreed = state;
    }

    boolean hasInService() {
        for (EndpointState state : replicas) {
            if (state.inService()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Chooses a replica with free capacity.
     *
     * @param hint replica that probably caches the prefix, or null
     * @param prefixHash hash that maps equal prefixes on different hosts to the same replica, 0 if there is none
     */
    EndpointState choose(EndpointState hint, long prefixHash, boolean alone, Random random, long now) {
        if (full && !alone) {
            return null;
        }
        EndpointState first = sample(null, alone, random, now);
        if (first == null) {
            first = scan(alone, random, now);
        }
        if (first == null) {
            full = !alone;
            return null;
        }
        EndpointState second = sample(first, alone, random, now);
        EndpointState better = second == null || first.utilisation() <= second.utilisation() ? first : second;
        EndpointState preferred = hint;
        if (hint == null && prefixHash != 0) {
            preferred = replicas[spread(prefixHash, replicas.length)];
        }
        return isUsable(preferred, better, alone, now) ? preferred : better;
    }

    /** Requests a credit of the least loaded of several sampled replicas that lack only a credit. */
    void requestCredit(boolean alone, Random random, long now) {
        EndpointState best = null;
        int n = replicas.length;
        int start = random.nextInt(n);
        for (int i = 0; i < Math.min(n, SAMPLES); i++) {
            EndpointState state = replicas[(start + i) % n];
            if (state.lacksOnlyCredit(alone, now) && (best == null || state.utilisation() < best.utilisation())) {
                best = state;
            }
        }
        if (best != null) {
            best.requestCredit(now);
        }
    }

    private EndpointState sample(EndpointState other, boolean alone, Random random, long now) {
        for (int i = 0; i < SAMPLES; i++) {
            EndpointState state = replicas[random.nextInt(replicas.length)];
            if (state != other && state.hasFreeCapacity(alone, now)) {
                return state;
            }
        }
        return null;
    }

    private EndpointState scan(boolean alone, Random random, long now) {
        if (lastFreed != null && lastFreed.hasFreeCapacity(alone, now)) {
            return lastFreed;
        }
        int n = replicas.length;
        int start = random.nextInt(n);
        for (int i = 0; i < n; i++) {
            EndpointState state = replicas[(start + i) % n];
            if (state.hasFreeCapacity(alone, now)) {
                return state;
            }
        }
        return null;
    }

    private static boolean isUsable(EndpointState preferred, EndpointState better, boolean alone, long now) {
        if (preferred == null || preferred == better || !preferred.hasFreeCapacity(alone, now)) {
            return false;
        }
        double allowed = better.utilisation() * AFFINITY_LOAD_FACTOR + 1.0 / better.concurrency();
        return preferred.utilisation() <= allowed;
    }

    private static int spread(long hash, int n) {
        long mixed = hash * 0x9E3779B97F4A7C15L;
        return (int) ((mixed >>> 33) % n);
    }
}
