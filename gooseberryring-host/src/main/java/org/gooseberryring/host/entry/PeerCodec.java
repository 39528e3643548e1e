package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberryring.coordination.direct.EndpointUse;
import org.gooseberryring.coordination.direct.PromptPlacement;
import org.gooseberryring.coordination.request.ArtifactUse;
import org.gooseberryring.coordination.request.Target;
import org.gooseberryring.coordination.residency.ResidencyEffect;
import org.gooseberryring.protocol.peer.ArtifactDemand;
import org.gooseberryring.protocol.peer.ArtifactsWanted;
import org.gooseberryring.protocol.peer.EndpointHoldings;
import org.gooseberryring.protocol.peer.EndpointUsage;
import org.gooseberryring.protocol.peer.HeldEndpoint;
import org.gooseberryring.protocol.peer.HeldModel;
import org.gooseberryring.protocol.peer.HostState;
import org.gooseberryring.protocol.peer.OrganisationUsage;
import org.gooseberryring.protocol.peer.PeerHeard;
import org.gooseberryring.protocol.peer.PromptParts;
import org.gooseberryring.state.ResidentModel;

/** Converts what entry hosts tell each other to peer messages and back. */
final class PeerCodec {
    private PeerCodec() {}

    static HostState encode(EntryRequests.HostSnapshot snapshot, Map<String, Long> heardAges) {
        HostState.Builder state = HostState.newBuilder();
        snapshot.news()
                .uses()
                .forEach((endpoint, use) -> state.addUsages(EndpointUsage.newBuilder()
                        .setEndpoint(endpoint)
                        .setInFlight(use.inFlight())
                        .setUnreadTokens(use.unreadTokens())
                        .setMemoryTokens(use.memoryTokens())
                        .setStalled(use.stalled())));
        snapshot.news().placements().forEach(placement -> state.addPlacements(encode(placement)));
        snapshot.news()
                .usedTokens()
                .forEach((organisation, tokens) -> state.addOrganisations(OrganisationUsage.newBuilder()
                        .setOrganisation(organisation)
                        .setUsedTokens(tokens)));
        snapshot.artifacts().forEach((target, use) -> state.addArtifacts(encode(target, use)));
        heardAges.forEach((host, age) ->
                state.addHeard(PeerHeard.newBuilder().setHost(host).setAgeMillis(age)));
        return state.build();
    }

    static EntryRequests.PeerNews news(HostState state) {
        List<PromptPlacement> placements =
                state.getPlacementsList().stream().map(PeerCodec::placement).toList();
        return new EntryRequests.PeerNews(uses(state), placements, usedTokens(state));
    }

    private static PromptParts encode(PromptPlacement placement) {
        PromptParts.Builder parts =
                PromptParts.newBuilder().setEndpoint(placement.endpoint()).setModel(placement.model());
        placement.tokens().forEach((key, tokens) -> parts.addKeys(key).addTokens(tokens));
        return parts.build();
    }

    private static PromptPlacement placement(PromptParts parts) {
        Map<Long, Integer> tokens = new HashMap<>();
        int count = Math.min(parts.getKeysCount(), parts.getTokensCount());
        for (int i = 0; i < count; i++) {
            tokens.put(parts.getKeys(i), parts.getTokens(i));
        }
        return new PromptPlacement(parts.getEndpoint(), parts.getModel(), tokens);
    }

    private static Map<String, EndpointUse> uses(HostState state) {
        Map<String, EndpointUse> uses = new HashMap<>();
        for (EndpointUsage usage : state.getUsagesList()) {
            uses.put(
                    usage.getEndpoint(),
                    new EndpointUse(
                            usage.getInFlight(), usage.getUnreadTokens(), usage.getMemoryTokens(), usage.getStalled()));
        }
        return uses;
    }

    private static Map<String, Long> usedTokens(HostState state) {
        Map<String, Long> used = new HashMap<>();
        state.getOrganisationsList().forEach(usage -> used.put(usage.getOrganisation(), usage.getUsedTokens()));
        return used;
    }

    static Map<Target.RoutedTarget, ArtifactUse> artifacts(HostState state) {
        Map<Target.RoutedTarget, ArtifactUse> uses = new HashMap<>();
        state.getArtifactsList()
                .forEach(demand ->
                        uses.put(target(demand), new ArtifactUse(demand.getTokensPerSecond(), demand.getInFlight())));
        return uses;
    }

    static ArtifactsWanted wanted(Collection<Target.RoutedTarget> targets) {
        ArtifactsWanted.Builder wanted = ArtifactsWanted.newBuilder();
        targets.forEach(target -> wanted.addArtifacts(encode(target, new ArtifactUse(0, 0))));
        return wanted.build();
    }

    static List<Target.RoutedTarget> targets(ArtifactsWanted wanted) {
        return wanted.getArtifactsList().stream().map(PeerCodec::target).toList();
    }

    static EndpointHoldings encode(String failureDomain, long term, List<ResidencyEffect.Announce> endpoints) {
        EndpointHoldings.Builder holdings =
                EndpointHoldings.newBuilder().setFailureDomain(failureDomain).setTerm(term);
        for (ResidencyEffect.Announce endpoint : endpoints) {
            HeldEndpoint.Builder held = HeldEndpoint.newBuilder()
                    .setEndpoint(endpoint.endpoint())
                    .setOrderSequence(endpoint.orderSequence())
                    .setLoading(endpoint.loading() == null ? "" : endpoint.loading());
            endpoint.models()
                    .forEach(model -> held.addModels(
                            HeldModel.newBuilder().setModel(model.model()).addAllAdapters(model.adapters())));
            holdings.addEndpoints(held);
        }
        return holdings.build();
    }

    static List<ResidencyEffect.Announce> endpoints(EndpointHoldings holdings) {
        List<ResidencyEffect.Announce> endpoints = new ArrayList<>();
        for (HeldEndpoint held : holdings.getEndpointsList()) {
            List<ResidentModel> models = new ArrayList<>();
            for (HeldModel model : held.getModelsList()) {
                models.add(new ResidentModel(model.getModel(), Set.copyOf(model.getAdaptersList())));
            }
            String loading = held.getLoading().isEmpty() ? null : held.getLoading();
            endpoints.add(new ResidencyEffect.Announce(held.getEndpoint(), held.getOrderSequence(), models, loading));
        }
        return endpoints;
    }

    private static ArtifactDemand encode(Target.RoutedTarget target, ArtifactUse use) {
        return ArtifactDemand.newBuilder()
                .setService(target.service())
                .setModel(target.model())
                .setAdapter(target.adapter() == null ? "" : target.adapter())
                .setTokensPerSecond(use.tokensPerSecond())
                .setInFlight(use.inFlight())
                .build();
    }

    private static Target.RoutedTarget target(ArtifactDemand demand) {
        String adapter = demand.getAdapter().isEmpty() ? null : demand.getAdapter();
        return new Target.RoutedTarget(demand.getService(), demand.getModel(), adapter);
    }
}
