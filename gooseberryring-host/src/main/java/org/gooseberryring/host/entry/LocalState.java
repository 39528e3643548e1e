package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;

import org.gooseberryring.coordination.feed.FeedPosition;
import org.gooseberryring.coordination.limit.TokenUse;
import org.gooseberryring.coordination.path.OwnReach;
import org.gooseberryring.coordination.request.ArtifactUse;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.residency.ResidencyEffect;
import org.gooseberryring.protocol.peer.EndpointRateLimit;
import org.gooseberryring.protocol.peer.StateEntry;
import org.gooseberryring.state.EndpointProcess;

/**
 * State that this host publishes to the others: the usage and the demand of its requests, the endpoints that have
 * signalled that they are leaving or how many requests they take, the models of the endpoints that it controls, and
 * its positions in the store if it is a relay.
 *
 * <p>Not thread-safe; used on the control thread only.
 */
final class LocalState {
    /** Demand rates are rounded to powers of this factor, so that a rate that hardly changes is not published again. */
    private static final double RATE_STEP = 1.5;

    private static final String NO_ADAPTER = "";

    private final Map<StateKey, StateEntry> heldEndpoints = new HashMap<>();
    private final Map<StateKey, StateEntry> leaving = new HashMap<>();
    private final Map<StateKey, StateEntry> rateLimits = new HashMap<>();
    private final List<StateEntry> notices = new ArrayList<>();
    private Map<StateKey, CachedEntry> usage = new HashMap<>();
    private Map<StateKey, CachedEntry> positions = new HashMap<>();
    private StateEntry configuration;
    private StateEntry reachability;
    private long term;
    private long revision;

    /** Entry with the value that it encodes, so that an unchanged value is not encoded again. */
    private record CachedEntry(Object value, StateEntry entry) {}

    /** Updates the usage and the demand of the requests of this host. */
    void updateRequests(EntryRequests.HostSnapshot snapshot) {
        Map<StateKey, CachedEntry> next = new HashMap<>();
        snapshot.uses()
                .forEach((endpoint, use) -> addOrReuse(
                        usage, next, StateKey.endpoint(endpoint), use, value -> PeerCodec.use(endpoint, value)));
        snapshot.tokenUses().forEach((organisation, use) -> {
            if (!use.equals(TokenUse.of(0))) {
                StateKey key = StateKey.organisation(organisation);
                addOrReuse(usage, next, key, use, value -> PeerCodec.tokenUse(organisation, value));
            }
        });
        snapshot.artifacts()
                .forEach((target, use) ->
                        addOrReuse(usage, next, key(target), rounded(use), value -> PeerCodec.artifact(target, value)));
        snapshot.verdicts().forEach(verdict -> {
            StateKey key = StateKey.verdict(
                    PartScope.of(verdict.part()), verdict.part().id());
            addOrReuse(usage, next, key, verdict, PartCodec::encode);
        });
        usage = next;
        snapshot.placements().forEach(placement -> notices.add(PeerCodec.parts(placement)));
    }

    /**
     * Updates the models of endpoints, under the fencing number of this host as their controller.
     *
     * @return entries of these endpoints
     */
    List<StateEntry> updateHeldEndpoints(long controllerTerm, List<ResidencyEffect.Announce> endpoints) {
        if (controllerTerm != term) {
            heldEndpoints.clear();
            term = controllerTerm;
        }
        List<StateEntry> entries = new ArrayList<>();
        for (ResidencyEffect.Announce endpoint : endpoints) {
            StateEntry entry = PeerCodec.holding(term, ++revision, endpoint);
            heldEndpoints.put(StateKey.of(entry), entry);
            entries.add(entry);
        }
        return entries;
    }

    /** Sets the version of the configuration that is in force. */
    void setConfiguration(long version) {
        configuration = PeerCodec.configuration(version);
    }

    /** Sets which endpoints this host reaches itself, and where it takes requests of other hosts. */
    void setReach(String relayAddress, double processors, OwnReach reach) {
        reachability = PeerCodec.reach(relayAddress, processors, reach);
    }

    /** Records that a process of an endpoint is leaving. */
    void addLeaving(EndpointProcess process) {
        leaving.put(StateKey.leaving(process.endpoint()), PeerCodec.leaving(process));
    }

    /** Sets the rate limit that a response to this host states, or its end. */
    void setRateLimit(EndpointRateLimit limit) {
        rateLimits.put(
                StateKey.rateLimit(limit.getEndpoint()),
                StateEntry.newBuilder().setRateLimit(limit).build());
    }

    /** Removes all entries of an endpoint that was unregistered or restarted. */
    void removeEndpoint(String endpoint) {
        heldEndpoints.remove(StateKey.holding(endpoint));
        leaving.remove(StateKey.leaving(endpoint));
        rateLimits.remove(StateKey.rateLimit(endpoint));
    }

    /** Removes the models of all endpoints, because this host controls them no longer. */
    void clearHeldEndpoints() {
        heldEndpoints.clear();
    }

    /**
     * Sets the positions up to which this host, as a relay, has followed the collections of the store; returns whether
     * they have changed.
     */
    boolean setPositions(Map<String, FeedPosition> newPositions, long now) {
        Map<StateKey, CachedEntry> next = new HashMap<>();
        newPositions.forEach((collection, position) -> {
            StateKey key = StateKey.position(collection);
            addOrReuse(positions, next, key, position, value -> PeerCodec.position(collection, value, now));
        });
        boolean changed = !next.equals(positions);
        positions = next;
        return changed;
    }

    /** Adds a notice, which is sent once to every other host. */
    void addNotice(StateEntry notice) {
        notices.add(notice);
    }

    /** Returns all entries. */
    Map<StateKey, StateEntry> entries() {
        Map<StateKey, StateEntry> all = new HashMap<>(heldEndpoints);
        all.putAll(leaving);
        all.putAll(rateLimits);
        if (configuration != null) {
            all.put(StateKey.configuration(), configuration);
        }
        if (reachability != null) {
            all.put(StateKey.reachability(), reachability);
        }
        usage.forEach((key, each) -> all.put(key, each.entry()));
        positions.forEach((key, each) -> all.put(key, each.entry()));
        return all;
    }

    /** Removes and returns the notices. */
    List<StateEntry> takeNotices() {
        List<StateEntry> removed = List.copyOf(notices);
        notices.clear();
        return removed;
    }

    /** Adds the entry of a value to the next ones; reuses the present entry if its value is the same. */
    private static <T> void addOrReuse(
            Map<StateKey, CachedEntry> present,
            Map<StateKey, CachedEntry> next,
            StateKey key,
            T value,
            Function<T, StateEntry> encoder) {
        CachedEntry old = present.get(key);
        boolean same = old != null && old.value().equals(value);
        next.put(key, same ? old : new CachedEntry(value, encoder.apply(value)));
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
