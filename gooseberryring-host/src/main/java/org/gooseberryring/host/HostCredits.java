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

/** Components that share the concurrency of endpoints between the hosts of a failure domain. */
final class HostCredits {
    private static final long MILLIS_PER_SECOND = 1000;

    private final boolean shared;
    private final RequestCredits requestCredits;
    private final CreditRoutes routes;
    private final CreditControl creditControl;

    /**
     * Creates the credit holder and the credit coordinators of this process.
     *
     * @param maxRunMillis longest time in milliseconds that a request may run on this host
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
        // Credits must remain valid for longer than the longest request.
        CreditRules rules = new CreditRules(
                defaults.leaseMillis(),
                Math.max(maxRunMillis, defaults.maxRequestMillis()),
                settings.reclaimAfterSeconds() * MILLIS_PER_SECOND,
                defaults.maxSharePercent());
        shared = settings.sharedCredits();
        routes = new CreditRoutes(self, peers, control);
        requestCredits = new RequestCredits(shared, routes::send, clock::now);
        creditControl =
                new CreditControl(self, settings.failureDomain(), rules, store, control, requestCredits, routes::send);
        control.onTick(this::tick);
    }

    /** Sets the receivers of messages; must be called before the first event. */
    void connect() {
        routes.connect(requestCredits, creditControl);
    }

    RequestCredits requestCredits() {
        return requestCredits;
    }

    CreditRoutes routes() {
        return routes;
    }

    /** Applies a configuration; must be called on the control thread. */
    void onConfiguration(FleetConfiguration configuration) {
        creditControl.onConfiguration(configuration);
    }

    /** Sets the live hosts of this failure domain, including this host; must be called on the control thread. */
    void onMembersChanged(Collection<String> liveHosts) {
        creditControl.onMembers(liveHosts);
    }

    private void tick(long now) {
        if (shared) {
            creditControl.tick(now);
            requestCredits.tick();
        }
    }
}
