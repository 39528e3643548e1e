package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gooseberryring.coordination.feed.FeedPosition;
import org.gooseberryring.coordination.request.ArtifactUse;
import org.gooseberryring.coordination.residency.ResidencyEffect;
import org.gooseberryring.protocol.peer.StateEntry;

/**
 * State that this host tells the others: what its requests take and ask for, and what endpoints hold if it controls them.
 *
 * <p>Belongs to the control thread.
 */
final class OwnState {
    /** Rates of demand are told in steps of this factor, so that a rate that hardly changes is not told again. */
    private static final double RATE_STEP = 1.5;

    private final Map<StateKey, StateEntry> holdings = new HashMap<>();
    private final Map<StateKey, StateEntry> work = new HashMap<>();
    private final Map<StateKey, StateEntry> positions = new HashMap<>();
    private final List<StateEntry> notices = new ArrayList<>();
    private long term;

    /** Takes over what the requests of this host take and ask for. */
    void requests(EntryRequests.HostSnapshot snapshot) {
        work.clear();
        snapshot.uses().forEach((endpoint, use) -> put(work, PeerCodec.use(endpoint, use)));
        snapshot.usedTokens().forEach((organisation, tokens) -> {
            if (tokens != 0) {
                put(work, PeerCodec.usedTokens(organisation, tokens));
            }
        });
        snapshot.artifacts().forEach((target, use) -> put(work, PeerCodec.artifact(target, rounded(use))));
        snapshot.placements().forEach(placement -> notices.add(PeerCodec.parts(placement)));
    }

    /** Takes over what endpoints hold, under the fencing number of this host as their controller. */
    void holds(long controllerTerm, List<ResidencyEffect.Announce> endpoints) {
        if (controllerTerm != term) {
            holdings.clear();
            term = controllerTerm;
        }
        endpoints.forEach(endpoint -> put(holdings, PeerCodec.holding(term, endpoint)));
    }

    /** Notes that this host controls no endpoints any more. */
    void controlsNothing() {
        holdings.clear();
    }

    /** Takes over how far this host has followed collections of the store for others. */
    void positions(Map<String, FeedPosition> newPositions) {
        positions.clear();
        newPositions.forEach((collection, position) -> put(positions, PeerCodec.position(collection, position)));
    }

    /** Adds a value that every other host is told once. */
    void notice(StateEntry notice) {
        notices.add(notice);
    }

    /** Returns all entries. */
    Map<StateKey, StateEntry> entries() {
        Map<StateKey, StateEntry> all = new HashMap<>(work);
        all.putAll(holdings);
        all.putAll(positions);
        return all;
    }

    /** Returns the values to tell once, and forgets them. */
    List<StateEntry> takeNotices() {
        List<StateEntry> taken = List.copyOf(notices);
        notices.clear();
        return taken;
    }

    private static void put(Map<StateKey, StateEntry> entries, StateEntry entry) {
        entries.put(StateKey.of(entry), entry);
    }

    private static ArtifactUse rounded(ArtifactUse use) {
        double steps = Math.rint(Math.log(Math.max(1, use.tokensPerSecond())) / Math.log(RATE_STEP));
        return new ArtifactUse(Math.rint(Math.pow(RATE_STEP, steps)), Math.min(1, use.inFlight()));
    }
}
