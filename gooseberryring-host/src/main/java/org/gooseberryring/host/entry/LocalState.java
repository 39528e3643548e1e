package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;

import org.gooseberryring.coordination.feed.FeedPosition;
import org.gooseberryring.coordination.request.ArtifactUse;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.residency.ResidencyEffect;
import org.gooseberryring.protocol.peer.StateEntry;
import org.gooseberryring.state.EndpointProcess;

/**
 * State that this host tells the others: what its requests take and ask for, which endpoints have told it that they leave,
 * what endpoints hold if it controls them, and how far it has followed the store if it relays.
 *
 * <p>Belongs to the control thread.
 */
final class LocalState {
    /** Rates of demand are told in steps of this factor, so that a rate that hardly changes is not told again. */
    private static final double RATE_STEP = 1.5;

    private static final String NO_ADAPTER = "";

    private final Map<StateKey, StateEntry> holdings = new HashMap<>();
    private final Map<StateKey, StateEntry> leaving = new HashMap<>();
    private final List<StateEntry> notices = new ArrayList<>();
    private Map<StateKey, Known> work = new HashMap<>();
    private Map<StateKey, Known> positions = new HashMap<>();
    private StateEntry configuration;
    private long term;
    private long revision;

    /** Entry with the value that it was made of, so that an entry whose value has not changed is not made anew. */
    private record Known(Object value, StateEntry entry) {}

    /** Takes over what the requests of this host take and ask for. */
    void requests(EntryRequests.HostSnapshot snapshot) {
        Map<StateKey, Known> next = new HashMap<>();
        snapshot.uses()
                .forEach((endpoint, use) ->
                        keep(work, next, StateKey.endpoint(endpoint), use, value -> PeerCodec.use(endpoint, value)));
        snapshot.usedTokens().forEach((organisation, tokens) -> {
            if (tokens != 0) {
                StateKey key = StateKey.organisation(organisation);
                keep(work, next, key, tokens, value -> PeerCodec.usedTokens(organisation, value));
            }
        });
        snapshot.artifacts()
                .forEach((target, use) ->
                        keep(work, next, key(target), rounded(use), value -> PeerCodec.artifact(target, value)));
        work = next;
        snapshot.placements().forEach(placement -> notices.add(PeerCodec.parts(placement)));
    }

    /**
     * Takes over what endpoints hold, under the fencing number of this host as their controller.
     *
     * @return entries of these endpoints
     */
    List<StateEntry> holds(long controllerTerm, List<ResidencyEffect.Announce> endpoints) {
        if (controllerTerm != term) {
            holdings.clear();
            term = controllerTerm;
        }
        List<StateEntry> entries = new ArrayList<>();
        for (ResidencyEffect.Announce endpoint : endpoints) {
            StateEntry entry = PeerCodec.holding(term, ++revision, endpoint);
            holdings.put(StateKey.of(entry), entry);
            entries.add(entry);
        }
        return entries;
    }

    /** Takes over the version of the configuration that is in force. */
    void configured(long version) {
        configuration = PeerCodec.configuration(version);
    }

    /** Takes over that a process of an endpoint leaves. */
    void leaves(EndpointProcess process) {
        leaving.put(StateKey.leaving(process.endpoint()), PeerCodec.leaving(process));
    }

    /** Forgets what an endpoint holds and that it leaves, because it is gone or has started anew. */
    void forget(String endpoint) {
        holdings.remove(StateKey.holding(endpoint));
        leaving.remove(StateKey.leaving(endpoint));
    }

    /** Notes that this host controls no endpoints any more. */
    void controlsNothing() {
        holdings.clear();
    }

    /** Takes over how far this host has followed collections of the store for others. */
    void positions(Map<String, FeedPosition> newPositions) {
        Map<StateKey, Known> next = new HashMap<>();
        newPositions.forEach((collection, position) -> {
            StateKey key = StateKey.position(collection);
            keep(positions, next, key, position, value -> PeerCodec.position(collection, value));
        });
        positions = next;
    }

    /** Adds a value that every other host is told once. */
    void notice(StateEntry notice) {
        notices.add(notice);
    }

    /** Returns all entries. */
    Map<StateKey, StateEntry> entries() {
        Map<StateKey, StateEntry> all = new HashMap<>(holdings);
        all.putAll(leaving);
        if (configuration != null) {
            all.put(StateKey.configuration(), configuration);
        }
        work.forEach((key, each) -> all.put(key, each.entry()));
        positions.forEach((key, each) -> all.put(key, each.entry()));
        return all;
    }

    /** Returns the values to tell once, and forgets them. */
    List<StateEntry> takeNotices() {
        List<StateEntry> taken = List.copyOf(notices);
        notices.clear();
        return taken;
    }

    /** Adds the entry of a value to the next ones; it is made anew only if the value differs from the present one. */
    private static <T> void keep(
            Map<StateKey, Known> present,
            Map<StateKey, Known> next,
            StateKey key,
            T value,
            Function<T, StateEntry> maker) {
        Known old = present.get(key);
        boolean same = old != null && old.value().equals(value);
        next.put(key, same ? old : new Known(value, maker.apply(value)));
    }

    private static StateKey key(RequestTarget.RoutedTarget target) {
        return StateKey.artifact(
                target.service(), target.model(), Objects.requireNonNullElse(target.adapter(), NO_ADAPTER));
    }

    private static ArtifactUse rounded(ArtifactUse use) {
        double steps = Math.rint(Math.log(Math.max(1, use.tokensPerSecond())) / Math.log(RATE_STEP));
        return new ArtifactUse(Math.rint(Math.pow(RATE_STEP, steps)), Math.min(1, use.inFlight()));
    }
}
