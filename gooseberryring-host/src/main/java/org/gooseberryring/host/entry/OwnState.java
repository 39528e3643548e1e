package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.gooseberryring.coordination.feed.FeedPosition;
import org.gooseberryring.coordination.request.ArtifactUse;
import org.gooseberryring.coordination.residency.ResidencyEffect;
import org.gooseberryring.protocol.peer.StateEntry;

/**
 * State that this host tells the others: what its requests take and ask for, what endpoints hold if it controls them, and
 * how far it has followed the store if it relays.
 *
 * <p>Belongs to the control thread.
 */
final class OwnState {
    /** Rates of demand are told in steps of this factor, so that a rate that hardly changes is not told again. */
    private static final double RATE_STEP = 1.5;

    private final Map<StateKey, StateEntry> holdings = new HashMap<>();
    private final List<StateEntry> notices = new ArrayList<>();
    private Map<Object, Known> known = new HashMap<>();
    private Map<Object, Known> positions = new HashMap<>();
    private long term;
    private long revision;

    /** Value of an entry, by which an entry that has not changed is found without making it anew. */
    private record Known(Object value, StateKey key, StateEntry entry) {}

    /** Takes over what the requests of this host take and ask for. */
    void requests(EntryRequests.HostSnapshot snapshot) {
        Map<Object, Known> next = new HashMap<>();
        snapshot.uses()
                .forEach((endpoint, use) -> keep(known, next, endpoint, use, value -> PeerCodec.use(endpoint, value)));
        snapshot.usedTokens().forEach((organisation, tokens) -> {
            if (tokens != 0) {
                // An organisation may have the name of an endpoint.
                List<String> name = List.of(organisation);
                keep(known, next, name, tokens, value -> PeerCodec.usedTokens(organisation, value));
            }
        });
        snapshot.artifacts()
                .forEach((target, use) ->
                        keep(known, next, target, rounded(use), value -> PeerCodec.artifact(target, value)));
        known = next;
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

    /** Notes that this host controls no endpoints any more. */
    void controlsNothing() {
        holdings.clear();
    }

    /** Takes over how far this host has followed collections of the store for others. */
    void positions(Map<String, FeedPosition> newPositions) {
        Map<Object, Known> next = new HashMap<>();
        newPositions.forEach((collection, position) ->
                keep(positions, next, collection, position, value -> PeerCodec.position(collection, value)));
        positions = next;
    }

    /** Adds a value that every other host is told once. */
    void notice(StateEntry notice) {
        notices.add(notice);
    }

    /** Returns all entries. */
    Map<StateKey, StateEntry> entries() {
        Map<StateKey, StateEntry> all = new HashMap<>(holdings);
        known.values().forEach(each -> all.put(each.key(), each.entry()));
        positions.values().forEach(each -> all.put(each.key(), each.entry()));
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
            Map<Object, Known> present, Map<Object, Known> next, Object id, T value, Function<T, StateEntry> maker) {
        Known old = present.get(id);
        if (old != null && old.value().equals(value)) {
            next.put(id, old);
            return;
        }
        StateEntry entry = maker.apply(value);
        next.put(id, new Known(value, StateKey.of(entry), entry));
    }

    private static ArtifactUse rounded(ArtifactUse use) {
        double steps = Math.rint(Math.log(Math.max(1, use.tokensPerSecond())) / Math.log(RATE_STEP));
        return new ArtifactUse(Math.rint(Math.pow(RATE_STEP, steps)), Math.min(1, use.inFlight()));
    }
}
