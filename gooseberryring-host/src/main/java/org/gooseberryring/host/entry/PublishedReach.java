package org.gooseberryring.host.entry;

import org.gooseberryring.coordination.path.OwnReach;
import org.gooseberryring.host.fleet.HostDirectory;
import org.gooseberryring.host.log.LogLine;
import org.jboss.logging.Logger;

/** Endpoints that this host does not reach itself, as it publishes them. */
final class PublishedReach {
    private static final Logger LOG = Logger.getLogger(PublishedReach.class);

    private final String relayAddress;
    private final double processors;
    private final LocalState localState;
    private volatile OwnReach current = OwnReach.ALL;

    /** Publishes, as part of the local state, that the host of the settings reaches all endpoints. */
    PublishedReach(EntrySettings settings, LocalState localState) {
        this.relayAddress = HostDirectory.text(settings.relayAddress());
        this.processors = settings.processors();
        this.localState = localState;
        localState.setReach(relayAddress, processors, current);
    }

    /** Publishes the endpoints if they have changed; must be called on the control thread. */
    void update(OwnReach reach) {
        if (reach.equals(current)) {
            return;
        }
        LogLine.event("paths-changed")
                .with("isolated", reach.isolated())
                .with("unreachable", reach.unreachable())
                .info(LOG);
        current = reach;
        localState.setReach(relayAddress, processors, reach);
    }

    /** Returns the endpoints that this host does not reach; may be called on any thread. */
    OwnReach current() {
        return current;
    }
}
