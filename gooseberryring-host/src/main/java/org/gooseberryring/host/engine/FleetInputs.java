package org.gooseberryring.host.engine;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.gooseberryring.coordination.request.FleetUpdateHandler;
import org.gooseberryring.coordination.route.ArtifactLoad;
import org.gooseberryring.protocol.LoadReport;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.FleetConfiguration;

/** Passes updates of the fleet to the request thread. */
public final class FleetInputs {
    private final RequestLoop loop;
    private final FleetUpdateHandler fleet;
    private final TokenPoolInputs tokenPool;

    public FleetInputs(RequestLoop loop, FleetUpdateHandler fleet, TokenPoolInputs tokenPool) {
        this.loop = loop;
        this.fleet = fleet;
        this.tokenPool = tokenPool;
    }

    /** Applies a configuration. */
    public void onConfiguration(FleetConfiguration configuration) {
        loop.put((engine, now) -> {
            tokenPool.onConfiguration(configuration, now);
            return fleet.configured(configuration, now);
        });
    }

    /** Applies a load report whose figures have the given age in milliseconds. */
    public void onLoadReport(LoadReport report, long ageMillis) {
        Set<Artifact> loaded = new HashSet<>(report.loaded());
        loop.put((engine, now) -> fleet.onLoadReport(
                report.endpoint(),
                report.incarnation(),
                report.running(),
                report.waiting(),
                report.capacity(),
                loaded,
                ageMillis,
                now));
    }

    /** Applies the load summary of another failure domain. */
    public void onDomainSummary(String failureDomain, long sequence, List<ArtifactLoad> loads) {
        loop.put((engine, now) -> fleet.domainSummary(failureDomain, sequence, loads, now));
    }
}
