package org.gooseberryring.coordination.stream;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.state.EndpointRegistration;

/**
 * Hosts, endpoints of several software versions, a store and callers of streams in virtual time.
 *
 * <p>A caller whose stream breaks off takes it up at another host. The world records from which versions the events of each
 * stream come, and how many of the streams that were taken up at hosts without recent faults go on.
 */
final class StreamWorld {
    private static final String SERVICE = "s";
    private static final long STEP_MILLIS = 10;
    private static final long HOST_TICK_MILLIS = 50;
    private static final long FIRST_EVENT_MILLIS = 60;
    private static final long EVENT_MILLIS = 150;
    private static final long DEADLINE_MILLIS = 10_000;
    private static final long REGISTRY_LAG_MILLIS = 60;
    private static final long PEER_MILLIS = 5;
    private static final long RETRY_MILLIS = 40;
    private static final int MAX_TRIES = 4;

    /** Time without an event after which a caller abandons its stream. */
    private static final long ABANDON_MILLIS = 2_000;

    /** Time without a response of the store, or without a sign of another host, after which a host may lag behind. */
    private static final long FRESH_MILLIS = 2_100;

    /** Time without a fault from which a host or the store counts. */
    private static final long CONTACT_MILLIS = 3_000;

    private final Random random;
    private final List<Slot> hosts = new ArrayList<>();
    private final Map<String, Endpoint> endpoints = new TreeMap<>();
    private final List<Change> registry = new ArrayList<>();
    private final StreamStore store = new StreamStore();
    private final PriorityQueue<Timed> events = new PriorityQueue<>();
    private final Map<String, StreamCaller> open = new TreeMap<>();
    private final List<StreamCaller> callers = new ArrayList<>();
    private final double callersPerStep;
    private final int eventsPerStream;
    private long now = 1_000;
    private long sequence;
    private int takenUp;
    private int goneOn;

    /** Place of a host, whose process may be replaced. */
    private static final class Slot {
        private final String name;
        private StreamHost host;
        private long frozenUntil;
        private long cutUntil;
        private long faultAt = Long.MIN_VALUE / 2;
        private long contactAt;

        private Slot(String name) {
            this.name = name;
        }
    }

    private record Endpoint(String version, Set<StreamCaller> running) {}

    private record Change(long at, EndpointRegistration registration, String removed) {}

    private record Timed(long at, long sequence, Runnable action) implements Comparable<Timed> {
        @Override
        public int compareTo(Timed other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * Creates a world without endpoints.
     *
     * @param streamsPerSecond streams that callers begin over all hosts
     * @param eventsPerStream number of events of each stream
     */
    StreamWorld(int hostCount, double streamsPerSecond, int eventsPerStream, long seed) {
        random = new Random(seed);
        callersPerStep = streamsPerSecond * STEP_MILLIS / 1_000;
        this.eventsPerStream = eventsPerStream;
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new Slot("h" + i));
            startHost(hosts.get(i));
        }
    }

    int hostCount() {
        return hosts.size();
    }

    /** Returns the number of streams that hold events of several versions. */
    long joined() {
        return callers.stream().filter(caller -> caller.versions().size() > 1).count();
    }

    /** Returns how many streams were taken up at hosts without recent faults while two endpoints of their version served. */
    int takenUp() {
        return takenUp;
    }

    /** Returns how many of them went on. */
    int goneOn() {
        return goneOn;
    }

    /** Returns the number of streams that received an event. */
    long begun() {
        return callers.stream().filter(caller -> caller.hasEvents()).count();
    }

    /** Returns the largest number of streams that the table of a host has. */
    int largestTable() {
        return hosts.stream()
                .flatMap(slot -> slot.host.table(now).services().values().stream())
                .mapToInt(versions ->
                        versions.values().stream().mapToInt(Set::size).sum())
                .max()
                .orElse(0);
    }

    void addEndpoint(String id, String version) {
        endpoints.put(id, new Endpoint(version, new HashSet<>()));
        registry.add(new Change(
                now,
                new EndpointRegistration(
                        id, SERVICE, "10.0.0.1:80", "a", 64, false, 0, registry.size() + 1, List.of(), version),
                null));
    }

    /** Ends an endpoint, whose streams break off, and removes its registration. */
    void removeEndpoint(String id) {
        registry.add(new Change(now, null, id));
        breakAll(endpoints.remove(id));
    }

    /** Replaces an endpoint by one of another version under the same identifier. */
    void replaceEndpoint(String id, String version) {
        breakAll(endpoints.remove(id));
        addEndpoint(id, version);
    }

    /** Resets the connections of an endpoint, whose streams break off. */
    void breakStreams(String id) {
        breakAll(endpoints.get(id));
    }

    List<String> endpoints() {
        return List.copyOf(endpoints.keySet());
    }

    /** Freezes a host; its callers abandon their streams if it stays so. */
    void freeze(int host, long millis) {
        Slot slot = hosts.get(host);
        StreamHost process = slot.host;
        slot.frozenUntil = now + millis;
        slot.faultAt = now + millis;
        at(now + ABANDON_MILLIS, () -> {
            if (isFrozen(slot) && slot.host == process) {
                List.copyOf(open.values()).stream()
                        .filter(caller -> caller.host() == process)
                        .forEach(caller -> {
                            String request = caller.request();
                            loseConnection(caller);
                            onHost(slot, process, 1, () -> carryOut(slot, process.onCallerGone(request, now)));
                        });
            }
        });
    }

    /** Cuts a host off from the store and from the other hosts. */
    void cutOff(int host, long millis) {
        hosts.get(host).cutUntil = now + millis;
        hosts.get(host).faultAt = now + millis;
    }

    void setStoreDown(boolean down) {
        store.setDown(down, now);
    }

    void setStoreSlow(boolean slow) {
        store.setSlow(slow, now);
    }

    /** Kills hosts, whose callers lose their connections, and starts them again after a time. */
    void kill(List<Integer> killed, long downMillis) {
        List<Slot> slots = killed.stream()
                .map(hosts::get)
                .filter(slot -> slot.host != null)
                .toList();
        List<StreamCaller> lost = open.values().stream()
                .filter(caller -> slots.contains(slot(caller)))
                .toList();
        for (Slot slot : slots) {
            slot.host = null;
            slot.faultAt = now + downMillis;
            at(now + downMillis, () -> startHost(slot));
        }
        lost.forEach(this::loseConnection);
    }

    void run(long millis) {
        long end = now + millis;
        while (now < end) {
            now += STEP_MILLIS;
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            if (random.nextDouble() < callersPerStep) {
                begin();
            }
            hosts.forEach(this::step);
        }
    }

    private void step(Slot slot) {
        if (slot.host == null || isFrozen(slot) || now % HOST_TICK_MILLIS != 0) {
            return;
        }
        boolean inContact = !isCut(slot) && !store.isDown();
        boolean hearsAll = !isCut(slot) && hosts.stream().allMatch(other -> other.host != null && !isCut(other));
        if (inContact) {
            slot.contactAt = now;
            applyRegistry(slot);
        }
        slot.host.setRegistryCurrent(now - slot.contactAt <= FRESH_MILLIS || hearsAll);
        carryOut(slot, slot.host.tick(now));
        callStore(slot);
    }

    private void applyRegistry(Slot slot) {
        while (slot.host.changes() < registry.size()
                && registry.get(slot.host.changes()).at() + REGISTRY_LAG_MILLIS <= now) {
            Change change = registry.get(slot.host.nextChange());
            carryOut(
                    slot,
                    change.removed() == null
                            ? slot.host.onRegistered(change.registration(), now)
                            : slot.host.onRemoved(change.removed(), now));
        }
    }

    private void callStore(Slot slot) {
        StreamHost host = slot.host;
        StoredStreams stored = host.stored();
        long delay = store.millis();
        if (stored.startRead(hosts.size(), now)) {
            onHost(slot, host, delay, () -> read(slot));
        }
        StoreRequest.Put put = stored.nextWrite(hosts.size(), now);
        if (put != null) {
            StreamTable table = host.table(now);
            boolean reaches = !isCut(slot) && !store.isDown();
            at(now + delay / 2, () -> {
                StoreReply reply = reaches ? store.write(slot.name, put, table) : unavailable(put);
                onHost(slot, host, delay / 2, () -> stored.onWritten(reply, now));
            });
        }
    }

    private void read(Slot slot) {
        StoredStreams stored = slot.host.stored();
        if (isCut(slot) || store.isDown()) {
            stored.onReadFailed(now);
            return;
        }
        List<StoredStreams.ReadTable> changed = stored.onPage(store.page());
        carryOut(slot, slot.host.onRead(changed, true, now));
    }

    private static StoreReply unavailable(StoreRequest.Put put) {
        return new StoreReply(put.key(), StoreOutcome.UNAVAILABLE, 0, null);
    }

    private void startHost(Slot slot) {
        slot.host = new StreamHost(slot.name, hosts.size(), DEADLINE_MILLIS, random.nextLong(), now);
        slot.contactAt = now - FRESH_MILLIS - 1;
    }

    private void begin() {
        StreamCaller caller = new StreamCaller(Integer.toString(callers.size()), now + DEADLINE_MILLIS);
        callers.add(caller);
        send(caller);
    }

    /** Sends the next request of a caller at a host that is up. */
    private void send(StreamCaller caller) {
        List<Slot> up = hosts.stream()
                .filter(slot -> slot.host != null && !slot.host.equals(caller.host()))
                .toList();
        if (!caller.mayTry(MAX_TRIES, now)) {
            return;
        }
        if (up.isEmpty()) {
            at(now + RETRY_MILLIS, () -> send(caller));
            return;
        }
        Slot slot = up.get(random.nextInt(up.size()));
        StreamHost host = slot.host;
        RequestSpec spec = caller.nextRequest(host, SERVICE, now);
        boolean counts = caller.hasEvents() && countsAt(slot) && isServed(caller);
        caller.setCounted(counts);
        takenUp += counts ? 1 : 0;
        open.put(caller.request(), caller);
        onHost(slot, host, 1, () -> carryOut(slot, host.arrived(spec, now)));
    }

    /** Returns whether a host, and the store, had no fault for some time. */
    private boolean countsAt(Slot slot) {
        return store.isSound(CONTACT_MILLIS, now)
                && now - slot.faultAt > CONTACT_MILLIS
                && now - slot.host.startedAt() > CONTACT_MILLIS;
    }

    private boolean isServed(StreamCaller caller) {
        return caller.versions().stream()
                .allMatch(version -> endpoints.values().stream()
                                .filter(endpoint -> endpoint.version().equals(version))
                                .count()
                        >= 2);
    }

    private void carryOut(Slot slot, List<RequestEffect> effects) {
        for (RequestEffect effect : effects) {
            if (effect instanceof RequestEffect.Dispatch dispatch) {
                dispatch(slot, dispatch);
            } else if (effect instanceof RequestEffect.Refuse refuse) {
                onRefused(open.get(refuse.requestId()));
            } else if (effect instanceof RequestEffect.SpreadStream spread) {
                spread(slot, spread.stream());
            } else if (effect instanceof RequestEffect.ReadStreams) {
                slot.host.stored().onStreamUnknown();
            } else if (effect instanceof RequestEffect.EndUnstarted end) {
                endUnstarted(slot, end);
            } else if (effect instanceof RequestEffect.Cancel cancel) {
                cancel(slot, cancel);
            }
        }
    }

    /** Carries out the end of an attempt; this world reports the start of a response before anything else happens. */
    private void endUnstarted(Slot slot, RequestEffect.EndUnstarted end) {
        if (end.refusal() != null) {
            onRefused(open.get(end.requestId()));
        }
        if (end.cancel() != null) {
            cancel(slot, end.cancel());
        }
    }

    private void cancel(Slot slot, RequestEffect.Cancel cancel) {
        StreamHost host = slot.host;
        StreamCaller caller = open.get(cancel.requestId());
        if (caller != null) {
            leave(caller);
        }
        onHost(slot, host, 1, () -> carryOut(slot, host.onBroken(cancel.requestId(), cancel.attempt(), true, now)));
    }

    private void dispatch(Slot slot, RequestEffect.Dispatch dispatch) {
        StreamCaller caller = open.get(dispatch.requestId());
        StreamHost host = slot.host;
        Endpoint endpoint = endpoints.get(dispatch.endpoint());
        if (caller == null || endpoint == null) {
            onHost(
                    slot,
                    host,
                    2,
                    () -> carryOut(slot, host.onBroken(dispatch.requestId(), dispatch.attempt(), false, now)));
            return;
        }
        caller.onDispatched(dispatch.attempt(), dispatch.endpoint());
        endpoint.running().add(caller);
        int attempt = caller.attempt();
        String request = caller.request();
        at(now + FIRST_EVENT_MILLIS, () -> event(caller, request, attempt, endpoint));
    }

    private void event(StreamCaller caller, String request, int attempt, Endpoint endpoint) {
        boolean current = request.equals(caller.request()) && attempt == caller.attempt() && open.containsKey(request);
        if (!current || !endpoint.running().contains(caller)) {
            return;
        }
        if (isFrozen(slot(caller))) {
            at(now + EVENT_MILLIS, () -> event(caller, request, attempt, endpoint));
            return;
        }
        StreamHost host = caller.host();
        if (!caller.hasBegun()) {
            caller.onBegun();
            carryOut(slot(caller), host.onResponseStarted(request, attempt, now));
        }
        goneOn += caller.onEvent(endpoint.version()) ? 1 : 0;
        if (caller.received() >= eventsPerStream) {
            endpoint.running().remove(caller);
            open.remove(request);
            carryOut(slot(caller), host.onCompleted(request, attempt, now));
        } else {
            at(now + EVENT_MILLIS, () -> event(caller, request, attempt, endpoint));
        }
    }

    private void breakAll(Endpoint endpoint) {
        for (StreamCaller caller : List.copyOf(endpoint.running())) {
            endpoint.running().remove(caller);
            Slot slot = slot(caller);
            StreamHost host = caller.host();
            String request = caller.request();
            int attempt = caller.attempt();
            boolean begun = caller.hasBegun();
            onHost(slot, host, 2, () -> carryOut(slot, host.onBroken(request, attempt, begun, now)));
        }
    }

    private void onRefused(StreamCaller caller) {
        if (caller != null) {
            open.remove(caller.request());
            leave(caller);
            at(now + RETRY_MILLIS, () -> send(caller));
        }
    }

    private void loseConnection(StreamCaller caller) {
        open.remove(caller.request());
        leave(caller);
        at(now + RETRY_MILLIS, () -> send(caller));
    }

    private void leave(StreamCaller caller) {
        Endpoint endpoint = caller.endpoint() == null ? null : endpoints.get(caller.endpoint());
        if (endpoint != null) {
            endpoint.running().remove(caller);
        }
    }

    private void spread(Slot from, StreamRecord stream) {
        for (Slot slot : hosts) {
            if (slot != from && slot.host != null && !isCut(slot) && !isCut(from)) {
                StreamHost receiver = slot.host;
                onHost(slot, receiver, PEER_MILLIS, () -> carryOut(slot, receiver.onReported(stream, now)));
            }
        }
    }

    /** Runs an action on a process of a host after a time, later if the host is frozen, unless the process has ended. */
    private void onHost(Slot slot, StreamHost process, long delay, Runnable action) {
        at(now + delay, () -> {
            if (slot.host != process) {
                return;
            }
            if (isFrozen(slot)) {
                onHost(slot, process, slot.frozenUntil - now, action);
            } else {
                action.run();
            }
        });
    }

    private Slot slot(StreamCaller caller) {
        return hosts.stream()
                .filter(slot -> slot.host == caller.host())
                .findFirst()
                .orElse(null);
    }

    private void at(long time, Runnable action) {
        events.add(new Timed(time, sequence++, action));
    }

    private boolean isFrozen(Slot slot) {
        return now < slot.frozenUntil;
    }

    private boolean isCut(Slot slot) {
        return now < slot.cutUntil;
    }
}
