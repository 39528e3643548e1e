package org.gooseberryring.coordination.config;

import java.util.ArrayDeque;
import java.util.Deque;

import org.gooseberryring.state.FleetConfiguration;

/** Bounded history of the newest differences between the configurations that this host adopted. */
final class DeltaHistory {
    /** Covers the changes of about 48 s at the target rate of 29,000 changes a day. */
    private static final int MAX_DELTAS = 16;

    private final Deque<ConfigurationDelta> deltas = new ArrayDeque<>();

    void add(FleetConfiguration from, FleetConfiguration to) {
        if (from.revision() == 0) {
            return;
        }
        deltas.addLast(ConfigurationDelta.between(from, to));
        if (deltas.size() > MAX_DELTAS) {
            deltas.removeFirst();
        }
    }

    /** Returns the difference between two revisions, or null if it is not in the history. */
    ConfigurationDelta from(long revision, long to) {
        for (ConfigurationDelta delta : deltas) {
            if (delta.fromRevision() == revision && delta.toRevision() == to) {
                return delta;
            }
        }
        return null;
    }
}
