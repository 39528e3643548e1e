package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import org.gooseberryring.coordination.direct.EndpointUse;
import org.gooseberryring.coordination.direct.PromptPlacement;
import org.gooseberryring.coordination.exchange.ExchangeMessage;
import org.gooseberryring.coordination.exchange.RecordUpdate;
import org.gooseberryring.coordination.feed.FeedPosition;
import org.gooseberryring.coordination.limit.TokenUse;
import org.gooseberryring.coordination.path.HostReach;
import org.gooseberryring.coordination.path.OwnReach;
import org.gooseberryring.coordination.request.ArtifactUse;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.request.RequestedArtifact;
import org.gooseberryring.coordination.residency.ResidencyEffect;
import org.gooseberryring.protocol.peer.AdoptedConfiguration;
import org.gooseberryring.protocol.peer.ArtifactDemand;
import org.gooseberryring.protocol.peer.ArtifactsWanted;
import org.gooseberryring.protocol.peer.CollectionPosition;
import org.gooseberryring.protocol.peer.EndpointUsage;
import org.gooseberryring.protocol.peer.HeldEndpoint;
import org.gooseberryring.protocol.peer.HeldModel;
import org.gooseberryring.protocol.peer.HostUpdate;
import org.gooseberryring.protocol.peer.LeavingEndpoint;
import org.gooseberryring.protocol.peer.LimitWindows;
import org.gooseberryring.protocol.peer.OrganisationUsage;
import org.gooseberryring.protocol.peer.OrganisationWindow;
import org.gooseberryring.protocol.peer.PromptParts;
import org.gooseberryring.protocol.peer.Reachability;
import org.gooseberryring.protocol.peer.SilentHost;
import org.gooseberryring.protocol.peer.StateEntry;
import org.gooseberryring.protocol.peer.StateSync;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.ResidentModel;

/** Converts the state that entry hosts exchange to peer messages and back. */
final class PeerCodec {
    private PeerCodec() {}

    /** Encodes a message of the exchange; {@code encoder} encodes its updates. */
    static StateSync encode(
            ExchangeMessage<StateKey, StateEntry> sync,
            Function<RecordUpdate<StateKey, StateEntry>, HostUpdate> encoder) {
        StateSync.Builder message = StateSync.newBuilder()
                .setNumber(sync.number())
                .setAcknowledged(sync.acknowledged())
                .setSubscribes(sync.subscribes())
                .setRestart(sync.restart())
                .addAllWantedDomains(sync.wantedDomains())
                .setCoversAll(sync.coversAll())
                .addAllCoveredDomains(sync.coveredDomains())
                .addAllRelayedHosts(sync.relayedHosts());
        sync.updates().forEach(update -> message.addUpdates(encoder.apply(update)));
        sync.silent()
                .forEach((host, age) ->
                        message.addSilent(SilentHost.newBuilder().setHost(host).setAgeMillis(age)));
        return message.build();
    }

    static ExchangeMessage<StateKey, StateEntry> decode(StateSync message) {
        Map<String, Long> silent = new HashMap<>();
        message.getSilentList().forEach(each -> silent.put(each.getHost(), each.getAgeMillis()));
        return new ExchangeMessage<>(
                message.getNumber(),
                message.getAcknowledged(),
                message.getSubscribes(),
                message.getRestart(),
                new HashSet<>(message.getWantedDomainsList()),
                message.getCoversAll(),
                new HashSet<>(message.getCoveredDomainsList()),
                new HashSet<>(message.getRelayedHostsList()),
                message.getUpdatesList().stream().map(PeerCodec::decode).toList(),
                silent);
    }

    static HostUpdate encode(RecordUpdate<StateKey, StateEntry> update) {
        HostUpdate.Builder message = HostUpdate.newBuilder()
                .setHost(update.host())
                .setIncarnation(update.incarnation())
                .setFailureDomain(update.failureDomain())
                .setBase(update.base())
                .setVersion(update.version())
                .addAllEntries(update.entries().values())
                .addAllNotices(update.notices());
        update.removed().forEach(key -> message.addRemoved(key.bare()));
        return message.build();
    }

    /** Decodes an update; skips entries of kinds that only later versions of the program know. */
    private static RecordUpdate<StateKey, StateEntry> decode(HostUpdate message) {
        Map<StateKey, StateEntry> entries = new HashMap<>();
        for (StateEntry entry : message.getEntriesList()) {
            if (entry.getValueCase() != StateEntry.ValueCase.VALUE_NOT_SET) {
                entries.put(StateKey.of(entry), entry);
            }
        }
        Set<StateKey> removed = new HashSet<>();
        for (StateEntry entry : message.getRemovedList()) {
            if (entry.getValueCase() != StateEntry.ValueCase.VALUE_NOT_SET) {
                removed.add(StateKey.of(entry));
            }
        }
        return new RecordUpdate<>(
                message.getHost(),
                message.getIncarnation(),
                message.getFailureDomain(),
                message.getBase(),
                message.getVersion(),
                entries,
                removed,
                message.getNoticesList());
    }

    static StateEntry use(String endpoint, EndpointUse use) {
        return StateEntry.newBuilder()
                .setEndpoint(EndpointUsage.newBuilder()
                        .setEndpoint(endpoint)
                        .setInFlight(use.inFlight())
                        .setUnreadTokens(use.unreadTokens())
                        .setMemoryTokens(use.memoryTokens())
                        .setStalled(use.stalled()))
                .build();
    }

    static EndpointUse use(StateEntry entry) {
        EndpointUsage usage = entry.getEndpoint();
        return new EndpointUse(
                usage.getInFlight(), usage.getUnreadTokens(), usage.getMemoryTokens(), usage.getStalled());
    }

    static StateEntry tokenUse(String organisation, TokenUse use) {
        return StateEntry.newBuilder()
                .setOrganisation(OrganisationUsage.newBuilder()
                        .setOrganisation(organisation)
                        .setUsedTokens(use.usedTokens())
                        .addAllReturnedTokens(use.returnedTokens()))
                .build();
    }

    static LimitWindows limitWindows(Map<String, List<Long>> windows) {
        LimitWindows.Builder message = LimitWindows.newBuilder();
        windows.forEach((organisation, tokens) -> message.addOrganisations(
                OrganisationWindow.newBuilder().setOrganisation(organisation).addAllTokens(tokens)));
        return message.build();
    }

    static Map<String, List<Long>> limitWindows(LimitWindows message) {
        Map<String, List<Long>> windows = new HashMap<>();
        message.getOrganisationsList()
                .forEach(each -> windows.put(each.getOrganisation(), List.copyOf(each.getTokensList())));
        return windows;
    }

    static TokenUse tokenUse(OrganisationUsage usage) {
        return new TokenUse(usage.getUsedTokens(), usage.getReturnedTokensList());
    }

    static StateEntry artifact(RequestTarget.RoutedTarget target, ArtifactUse use) {
        return StateEntry.newBuilder().setArtifact(encode(target, use)).build();
    }

    static RequestTarget.RoutedTarget target(ArtifactDemand demand) {
        String adapter = demand.getAdapter().isEmpty() ? null : demand.getAdapter();
        return new RequestTarget.RoutedTarget(demand.getService(), demand.getModel(), adapter);
    }

    static StateEntry parts(PromptPlacement placement) {
        PromptParts.Builder parts =
                PromptParts.newBuilder().setEndpoint(placement.endpoint()).setModel(placement.model());
        placement.tokens().forEach((key, tokens) -> parts.addKeys(key).addTokens(tokens));
        return StateEntry.newBuilder().setParts(parts).build();
    }

    static PromptPlacement placement(PromptParts parts) {
        Map<Long, Integer> tokens = new HashMap<>();
        int count = Math.min(parts.getKeysCount(), parts.getTokensCount());
        for (int i = 0; i < count; i++) {
            tokens.put(parts.getKeys(i), parts.getTokens(i));
        }
        return new PromptPlacement(parts.getEndpoint(), parts.getModel(), tokens);
    }

    static StateEntry holding(long term, long revision, ResidencyEffect.Announce endpoint) {
        HeldEndpoint.Builder held = HeldEndpoint.newBuilder()
                .setEndpoint(endpoint.endpoint())
                .setOrderSequence(endpoint.orderSequence())
                .setLoading(endpoint.loading() == null ? "" : endpoint.loading())
                .setTerm(term)
                .setRevision(revision);
        endpoint.models()
                .forEach(model -> held.addModels(
                        HeldModel.newBuilder().setModel(model.model()).addAllAdapters(model.adapters())));
        return StateEntry.newBuilder().setHolding(held).build();
    }

    static ResidencyEffect.Announce holding(HeldEndpoint held) {
        List<ResidentModel> models = new ArrayList<>();
        for (HeldModel model : held.getModelsList()) {
            models.add(new ResidentModel(model.getModel(), Set.copyOf(model.getAdaptersList())));
        }
        String loading = held.getLoading().isEmpty() ? null : held.getLoading();
        return new ResidencyEffect.Announce(held.getEndpoint(), held.getOrderSequence(), models, loading);
    }

    /** Encodes a position; the time of its confirmation is sent as an age. */
    static StateEntry position(String collection, FeedPosition position, long now) {
        return StateEntry.newBuilder()
                .setPosition(CollectionPosition.newBuilder()
                        .setCollection(collection)
                        .setEpoch(position.changed().epoch())
                        .setChangedRevision(position.changed().revision())
                        .setFresh(position.fresh())
                        .setInContact(position.inContact())
                        .setConfirmedAgeMillis(Math.max(0, now - position.confirmedAt())))
                .build();
    }

    static StateEntry configuration(long version) {
        return StateEntry.newBuilder()
                .setConfiguration(AdoptedConfiguration.newBuilder().setVersion(version))
                .build();
    }

    static StateEntry reach(String relayAddress, double processors, OwnReach reach) {
        return StateEntry.newBuilder()
                .setReachability(Reachability.newBuilder()
                        .setRelayAddress(relayAddress)
                        .setProcessors(processors)
                        .setIsolated(reach.isolated())
                        .addAllUnreachable(reach.unreachable()))
                .build();
    }

    static HostReach reach(String failureDomain, Reachability stated) {
        return new HostReach(
                failureDomain,
                stated.getRelayAddress(),
                stated.getProcessors(),
                stated.getIsolated(),
                new HashSet<>(stated.getUnreachableList()));
    }

    static StateEntry leaving(EndpointProcess process) {
        return StateEntry.newBuilder()
                .setLeaving(LeavingEndpoint.newBuilder()
                        .setEndpoint(process.endpoint())
                        .setBornMillis(process.bornMillis()))
                .build();
    }

    static ArtifactsWanted wanted(Collection<RequestedArtifact> artifacts) {
        ArtifactsWanted.Builder wanted = ArtifactsWanted.newBuilder();
        for (RequestedArtifact artifact : artifacts) {
            String version = artifact.softwareVersion() == null ? "" : artifact.softwareVersion();
            wanted.addArtifacts(
                    encode(artifact.target(), new ArtifactUse(0, 0)).toBuilder().setSoftwareVersion(version));
        }
        return wanted.build();
    }

    static List<RequestedArtifact> artifacts(ArtifactsWanted wanted) {
        return wanted.getArtifactsList().stream()
                .map(each -> new RequestedArtifact(
                        target(each), each.getSoftwareVersion().isEmpty() ? null : each.getSoftwareVersion()))
                .toList();
    }

    private static ArtifactDemand encode(RequestTarget.RoutedTarget target, ArtifactUse use) {
        return ArtifactDemand.newBuilder()
                .setService(target.service())
                .setModel(target.model())
                .setAdapter(target.adapter() == null ? "" : target.adapter())
                .setTokensPerSecond(use.tokensPerSecond())
                .setInFlight(use.inFlight())
                .build();
    }
}
