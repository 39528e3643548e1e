package org.gooseberryring.host.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.gooseberryring.coordination.membership.Rendezvous;
import org.gooseberryring.coordination.route.ArtifactLoad;
import org.gooseberryring.host.caller.ArtifactNames;
import org.gooseberryring.host.engine.FleetInputs;
import org.gooseberryring.host.fleet.HostDirectory;
import org.gooseberryring.host.peer.PeerMessageSender;
import org.gooseberryring.protocol.HostEntry;
import org.gooseberryring.protocol.LoadReport;
import org.gooseberryring.protocol.peer.DomainSummary;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.FleetConfiguration;

/**
 * Exchanges summaries of resident models with the other failure domains.
 *
 * <p>Two hosts of each failure domain send its summary to two hosts of every other one, which forward it within their
 * own failure domain, so that the number of messages does not grow with the product of the host counts.
 */
public final class SummaryControl {
    private static final String ROLE = "summary-relay/";
    private static final int RELAYS_PER_DOMAIN = 2;
    private static final long INTERVAL_MILLIS = 1000;
    private static final long MESSAGE_LIFETIME_MILLIS = 3000;

    private final String self;
    private final String failureDomain;
    private final HostDirectory directory;
    private final Supplier<FleetConfiguration> configuration;
    private final Supplier<Map<String, LoadReport>> reports;
    private final PeerMessageSender peers;
    private final FleetInputs fleetInputs;
    private final LongSupplier wallClock;
    private long nextSendAt;

    /**
     * Creates the exchange of one host.
     *
     * @param reports returns the latest load reports of this failure domain by endpoint
     * @param wallClock milliseconds since the Unix epoch, used as sequence numbers of the summaries
     */
    public SummaryControl(
            String self,
            String failureDomain,
            HostDirectory directory,
            Supplier<FleetConfiguration> configuration,
            Supplier<Map<String, LoadReport>> reports,
            PeerMessageSender peers,
            FleetInputs fleetInputs,
            LongSupplier wallClock) {
        this.self = self;
        this.failureDomain = failureDomain;
        this.directory = directory;
        this.configuration = configuration;
        this.reports = reports;
        this.peers = peers;
        this.fleetInputs = fleetInputs;
        this.wallClock = wallClock;
    }

    /** Sends the summary if the interval has elapsed and this host is one of the senders of its failure domain. */
    public void tick(long now) {
        if (now < nextSendAt) {
            return;
        }
        nextSendAt = now + INTERVAL_MILLIS;
        Set<String> domainHosts = new HashSet<>();
        domainHosts.add(self);
        directory.live(failureDomain).forEach(host -> domainHosts.add(host.id()));
        if (!Rendezvous.top(domainHosts, ROLE + failureDomain, RELAYS_PER_DOMAIN)
                .contains(self)) {
            return;
        }
        DomainSummary summary = summary();
        for (String domain : configuration.get().failureDomains().keySet()) {
            if (!domain.equals(failureDomain)) {
                List<String> hosts =
                        directory.live(domain).stream().map(HostEntry::id).toList();
                Rendezvous.top(hosts, ROLE + domain, RELAYS_PER_DOMAIN).forEach(host -> send(host, summary));
            }
        }
    }

    /** Handles a summary of another failure domain and forwards it if its sender is outside this failure domain. */
    public void onSummary(String sender, DomainSummary summary) {
        List<ArtifactLoad> loads = new ArrayList<>();
        for (org.gooseberryring.protocol.peer.ArtifactLoad load : summary.getArtifactsList()) {
            Artifact artifact = ArtifactNames.parse(load.getArtifact());
            if (artifact != null) {
                loads.add(new ArtifactLoad(artifact, load.getReplicas(), load.getFreeConcurrency()));
            }
        }
        fleetInputs.onDomainSummary(summary.getFailureDomain(), summary.getSequence(), loads);
        HostEntry from = directory.others().get(sender);
        if (from != null && !from.failureDomain().equals(failureDomain)) {
            directory.live(failureDomain).forEach(host -> send(host.id(), summary));
        }
    }

    private DomainSummary summary() {
        FleetConfiguration current = configuration.get();
        FailureDomain domain = current.failureDomains().get(failureDomain);
        Map<Artifact, int[]> totals = new HashMap<>();
        if (domain != null && domain.in()) {
            reports.get()
                    .forEach((id, report) -> add(totals, current.endpoints().get(id), report));
        }
        DomainSummary.Builder builder =
                DomainSummary.newBuilder().setFailureDomain(failureDomain).setSequence(wallClock.getAsLong());
        new TreeMap<>(totals)
                .forEach((artifact, total) ->
                        builder.addArtifacts(org.gooseberryring.protocol.peer.ArtifactLoad.newBuilder()
                                .setArtifact(artifact.toString())
                                .setReplicas(total[0])
                                .setFreeConcurrency(total[1])));
        return builder.build();
    }

    private static void add(Map<Artifact, int[]> totals, Endpoint endpoint, LoadReport report) {
        if (endpoint == null || endpoint.leaving()) {
            return;
        }
        int free = Math.max(0, report.capacity() - report.running() - report.waiting());
        for (Artifact artifact : report.loaded()) {
            int[] total = totals.computeIfAbsent(artifact, a -> new int[2]);
            total[0]++;
            total[1] += free;
        }
    }

    private void send(String host, DomainSummary summary) {
        peers.send(host, PeerMessage.newBuilder().setDomainSummary(summary), MESSAGE_LIFETIME_MILLIS);
    }
}
