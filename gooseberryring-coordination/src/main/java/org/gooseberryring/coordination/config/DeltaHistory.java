package org.gooseberryring.coordination.config;

import java.util.ArrayDeque;
import java.util.Deque;

import org.gooseberryring.state.FleetConfiguration;

/** Bounded list of the newest differences that this host went through. */
final class DeltaHistory {
    /** At the target of 29,000 changes a day this covers the changes of about 48 s. */
    private static final int LIMIT = 16;

    private final Deque<ConfigurationDelta> deltas = new ArrayDeque<>();

    void add(FleetConfiguration from, FleetConfiguration to) {
        if (from.revision() == 0) {
            return;
        }
        deltas.addLast(ConfigurationDelta.between(from, to));
        if (deltas.size() > LIMIT) {
            deltas.removeFirst();
        }
    }

    /** Returns the difference from a revision to the present one, or null if it is not known. */
    ConfigurationDelta from(long revision, long to) {
        for (ConfigurationDelta delta : deltas) {
            if (delta.fromRevision() == revision && delta.toRevision() == to) {
                return delta;
            }
        }
        return null;
    }
}
