package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.gooseberryring.coordination.crash.PartEvent;
import org.gooseberryring.coordination.crash.PartVerdict;
import org.gooseberryring.coordination.crash.RequestCrash;
import org.gooseberryring.coordination.direct.EndpointUse;
import org.gooseberryring.coordination.direct.PromptPlacement;
import org.gooseberryring.coordination.exchange.RecordUpdate;
import org.gooseberryring.coordination.limit.TokenUse;
import org.gooseberryring.coordination.path.HostReach;
import org.gooseberryring.coordination.request.ArtifactUse;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.stream.StreamRecord;
import org.gooseberryring.protocol.peer.EndpointRateLimit;
import org.gooseberryring.protocol.peer.HeldEndpoint;
import org.gooseberryring.protocol.peer.Reachability;
import org.gooseberryring.protocol.peer.StateEntry;
import org.gooseberryring.state.EndpointProcess;

/** Extracts the changes of another host's state by kind. */
final class StateReader {
    private final RecordUpdate<StateKey, StateEntry> update;

    StateReader(RecordUpdate<StateKey, StateEntry> update) {
        this.update = update;
    }

    /** Returns the demand of a host for models and adapters, from all entries of its state. */
    static Map<RequestTarget.RoutedTarget, ArtifactUse> demand(Collection<StateEntry> entries) {
        Map<RequestTarget.RoutedTarget, ArtifactUse> uses = new HashMap<>();
        entries.stream()
                .filter(StateEntry::hasArtifact)
                .map(StateEntry::getArtifact)
                .forEach(demand -> uses.put(
                        PeerCodec.target(demand), new ArtifactUse(demand.getTokensPerSecond(), demand.getInFlight())));
        return uses;
    }

    /** Returns the changes that concern the request thread. */
    HostChanges hostChanges() {
        Map<String, EndpointUse> uses = new HashMap<>();
        Map<String, TokenUse> tokenUses = new HashMap<>();
        for (StateEntry entry : update.entries().values()) {
            if (entry.hasEndpoint()) {
                uses.put(entry.getEndpoint().getEndpoint(), PeerCodec.use(entry));
            } else if (entry.hasOrganisation()) {
                tokenUses.put(entry.getOrganisation().getOrganisation(), PeerCodec.tokenUse(entry.getOrganisation()));
            }
        }
        for (StateKey key : update.removed()) {
            if (key.kind() == StateEntry.ValueCase.ENDPOINT) {
                uses.put(key.name(), EndpointUse.NONE);
            }
        }
        return new HostChanges(
                update.host(), update.incarnation(), update.isComplete(), uses, tokenUses, placements(), reach());
    }

    /** Returns the report of the host on the endpoints that it reaches, null if it has not changed. */
    private HostReach reach() {
        StateEntry entry = update.entries().get(StateKey.reachability());
        boolean unchanged = entry == null && !update.isComplete();
        Reachability stated = entry == null ? Reachability.getDefaultInstance() : entry.getReachability();
        return unchanged ? null : PeerCodec.reach(update.failureDomain(), stated);
    }

    /** Returns the reports on endpoints that the host controls. */
    List<HeldEndpoint> heldEndpoints() {
        return update.entries().values().stream()
                .filter(StateEntry::hasHolding)
                .map(StateEntry::getHolding)
                .toList();
    }

    /** Returns the version of the configuration that the host has in force, if that has changed. */
    OptionalLong configuration() {
        return update.entries().values().stream()
                .filter(StateEntry::hasConfiguration)
                .mapToLong(entry -> entry.getConfiguration().getVersion())
                .max();
    }

    /** Returns the processes of endpoints that have signalled to the host that they are leaving. */
    List<EndpointProcess> leaving() {
        return update.entries().values().stream()
                .filter(StateEntry::hasLeaving)
                .map(StateEntry::getLeaving)
                .map(each -> new EndpointProcess(each.getEndpoint(), each.getBornMillis()))
                .toList();
    }

    /** Returns the rate limits that endpoints have stated to the host, and those that have ended. */
    List<EndpointRateLimit> rateLimits() {
        return update.entries().values().stream()
                .filter(StateEntry::hasRateLimit)
                .map(StateEntry::getRateLimit)
                .toList();
    }

    /** Returns the losses of endpoints under requests of the host. */
    List<RequestCrash> requestCrashes() {
        return update.notices().stream()
                .filter(StateEntry::hasQuarantined)
                .map(notice -> PartCodec.decode(notice.getQuarantined()))
                .toList();
    }

    /** Returns the observations of the host on prompt parts. */
    List<PartEvent> partEvents() {
        List<PartEvent> events = new ArrayList<>();
        for (StateEntry notice : update.notices()) {
            if (notice.hasCrashed()) {
                events.add(PartCodec.decode(notice.getCrashed()));
            } else if (notice.hasAnswered()) {
                events.add(PartCodec.decode(notice.getAnswered()));
            }
        }
        return events;
    }

    /** Returns the streams of the host that broke off. */
    List<StreamRecord> brokenStreams() {
        return update.notices().stream()
                .filter(StateEntry::hasBrokenStream)
                .map(notice -> StreamCodec.decode(notice.getBrokenStream()))
                .toList();
    }

    /** Returns the verdicts of the host on prompt parts that have changed. */
    List<PartVerdict> verdicts() {
        return update.entries().values().stream()
                .filter(StateEntry::hasVerdict)
                .map(entry -> PartCodec.decode(entry.getVerdict()))
                .toList();
    }

    private List<PromptPlacement> placements() {
        return update.notices().stream()
                .filter(StateEntry::hasParts)
                .map(notice -> PeerCodec.placement(notice.getParts()))
                .toList();
    }
}
