package org.gooseberryring.host;

import java.util.Collection;

import org.gooseberryring.coordination.route.CreditRules;
import org.gooseberryring.coordination.route.HolderId;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.control.CreditControl;
import org.gooseberryring.host.control.StoreCallExecutor;
import org.gooseberryring.host.engine.RequestCredits;
import org.gooseberryring.host.peer.CreditRoutes;
import org.gooseberryring.host.peer.PeerMessageSender;
import org.gooseberryring.host.settings.HostSettings;
import org.gooseberryring.state.FleetConfiguration;

/** Parts of a host that share the concurrency of endpoints with the other hosts of its failure domain. */
final class HostCredits {
    private static final long MILLIS_PER_SECOND = 1000;

    private final boolean shared;
    private final RequestCredits holder;
    private final CreditRoutes routes;
    private final CreditControl homes;

    /**
     * Creates the holder and the homes of this process.
     *
     * @param maxRunMillis longest time that this host lets a request run
     */
    HostCredits(
            HostSettings settings,
            long incarnation,
            long maxRunMillis,
            HostClock clock,
            PeerMessageSender peers,
            ControlLoop control,
            StoreCallExecutor store) {
        HolderId self = new HolderId(settings.hostId(), incarnation);
        CreditRules defaults = CreditRules.standard();
        // Credits must outlast the longest request that a host lets run.
        CreditRules rules = new CreditRules(
                defaults.leaseMillis(),
                Math.max(maxRunMillis, defaults.maxRequestMillis()),
                settings.reclaimAfterSeconds() * MILLIS_PER_SECOND,
                defaults.maxSharePercent());
        shared = settings.sharedCredits();
        routes = new CreditRoutes(self, peers, control);
        holder = new RequestCredits(shared, routes::send, clock::now);
        homes = new CreditControl(self, settings.failureDomain(), rules, store, control, holder, routes::send);
        control.onTick(this::tick);
    }

    /** Names the receivers of messages; must precede the first event. */
    void connect() {
        routes.connect(holder, homes);
    }

    RequestCredits holder() {
        return holder;
    }

    CreditRoutes routes() {
        return routes;
    }

    /** Takes over a configuration; call on the control thread. */
    void configured(FleetConfiguration configuration) {
        homes.onConfiguration(configuration);
    }

    /** Takes over the live hosts of this failure domain, this host included; call on the control thread. */
    void members(Collection<String> liveHosts) {
        homes.onMembers(liveHosts);
    }

    private void tick(long now) {
        if (shared) {
            homes.tick(now);
            holder.tick();
        }
    }
}
