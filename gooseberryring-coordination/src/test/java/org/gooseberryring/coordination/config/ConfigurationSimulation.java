package org.gooseberryring.coordination.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.gooseberryring.coordination.placement.Planner;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.Organisation;

import static com.google.common.truth.Truth.assertWithMessage;

/** Simulates hosts, concurrent operators, a faulty store and a faulty network with a simulated clock. */
final class ConfigurationSimulation {
    private static final int TICK_MILLIS = 100;
    private static final int PROBE_MILLIS = 500;

    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final MemoryCodec codec = new MemoryCodec();
    private final FaultyStore store;
    private final List<SimulatedHost> hosts = new ArrayList<>();
    private final Map<String, CommitResult> results = new HashMap<>();
    private final Map<Long, FleetConfiguration> contentsByRevision = new HashMap<>();
    private final ConfigurationEditor editor = new ConfigurationEditor(new Planner());
    private double messageLoss;
    private long now = 1;
    private long order;
    private int submitted;

    private record Event(long at, long order, Runnable action) {}

    ConfigurationSimulation(long seed, int hostCount, int domains, double faultRate) {
        random = new Random(seed);
        messageLoss = faultRate;
        store = new FaultyStore(random, this::schedule, faultRate);
        List<FeedMember> members = new ArrayList<>();
        for (int i = 0; i < hostCount; i++) {
            members.add(new FeedMember("h" + i, "d" + i % domains));
        }
        for (int i = 0; i < hostCount; i++) {
            SimulatedHost host = new SimulatedHost(i, members);
            hosts.add(host);
            host.restart();
            schedule(random.nextInt(TICK_MILLIS), host::tick);
            schedule(random.nextInt(PROBE_MILLIS), host::probe);
        }
    }

    void run(long millis) {
        long end = now + millis;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        now = end;
    }

    FaultyStore store() {
        return store;
    }

    void endFaults() {
        messageLoss = 0;
        store.setFaultRate(0);
        store.setDown(false);
    }

    void restartHost() {
        hosts.get(random.nextInt(hosts.size())).restart();
    }

    /** Submits a change to the current revision of a random host, as an operator does. */
    void submit() {
        String id = "c" + submitted++;
        SimulatedHost host = hosts.get(random.nextInt(hosts.size()));
        Change change = new Change.PutOrganisation(new Organisation(id, 1, 1, 1, null));
        ChangeSubmission submission =
                new ChangeSubmission(id, host.tracker.revision(), "operator", "test", List.of(change), now);
        ChangeCommitter committer = new ChangeCommitter(submission, editor, codec, random);
        carryOut(id, committer, committer.start(now), host);
    }

    int committed() {
        return (int) results.values().stream()
                .filter(result -> result instanceof CommitResult.Committed)
                .count();
    }

    /** Asserts that the store contains exactly the accepted changes and that all hosts have its configuration. */
    void assertConsistent() {
        assertWithMessage("changes with a result").that(results).hasSize(submitted);
        FleetConfiguration head =
                codec.decodeHead(store.value(ChangeCommitter.HEAD_KEY)).configuration();
        results.forEach((id, result) -> {
            if (!(result instanceof CommitResult.Unresolved)) {
                assertWithMessage(id + " " + result)
                        .that(head.organisations().containsKey(id))
                        .isEqualTo(result instanceof CommitResult.Committed);
            }
        });
        for (SimulatedHost host : hosts) {
            assertWithMessage("revision of " + host.name)
                    .that(host.tracker.revision())
                    .isEqualTo(head.revision());
            assertWithMessage("content of " + host.name)
                    .that(host.tracker.current())
                    .isEqualTo(head);
        }
    }

    /** Returns the number of hosts that have the newest revision of the store. */
    int hostsUpToDate() {
        long head = codec.decodeHead(store.value(ChangeCommitter.HEAD_KEY))
                .configuration()
                .revision();
        return (int) hosts.stream().filter(h -> h.tracker.revision() == head).count();
    }

    private void schedule(int millis, Runnable action) {
        events.add(new Event(now + millis, order++, action));
    }

    private void carryOut(String id, ChangeCommitter committer, List<CommitEffect> effects, SimulatedHost host) {
        for (CommitEffect effect : effects) {
            if (effect instanceof CommitEffect.Call call) {
                store.call(call.request(), reply -> carryOut(id, committer, committer.onReply(reply, now), host));
            } else if (effect instanceof CommitEffect.WakeAt wake) {
                schedule((int) (wake.millis() - now), () -> carryOut(id, committer, committer.onTimer(now), host));
            } else if (effect instanceof CommitEffect.Done done) {
                results.put(id, done.result());
                if (done.result() instanceof CommitResult.Committed c && random.nextBoolean()) {
                    host.carryOut(host.feed.onHead(c.version(), c.head(), now));
                }
            }
        }
    }

    /** Host with its feed; messages to it may be lost, delayed or reordered. */
    private final class SimulatedHost {
        private final String name;
        private final String domain;
        private final List<FeedMember> members;
        private ConfigurationTracker tracker;
        private ConfigurationFeed feed;
        private int incarnation;

        SimulatedHost(int index, List<FeedMember> members) {
            this.name = members.get(index).host();
            this.domain = members.get(index).failureDomain();
            this.members = members;
        }

        void restart() {
            incarnation++;
            tracker = new ConfigurationTracker();
            feed = new ConfigurationFeed(name, domain, FeedSettings.defaults(), tracker, random, now);
            feed.onMembersChanged(members, now);
        }

        void tick() {
            carryOut(feed.onTick(now));
            schedule(TICK_MILLIS, this::tick);
        }

        /** Probes a random member of the failure domain, as the membership protocol does. */
        void probe() {
            List<SimulatedHost> peers = hosts.stream()
                    .filter(h -> h != this && h.domain.equals(domain))
                    .toList();
            if (!peers.isEmpty()) {
                probe(peers.get(random.nextInt(peers.size())));
            }
            schedule(PROBE_MILLIS, this::probe);
        }

        private void probe(SimulatedHost peer) {
            long revision = tracker.revision();
            long sentAt = now;
            send(peer, () -> {
                peer.carryOut(peer.feed.onPeerRevision(name, revision, now));
                long peerRevision = peer.tracker.revision();
                long confirmationAge = peer.tracker.confirmationAgeMillis(now);
                peer.send(this, () -> {
                    carryOut(feed.onPeerRevision(peer.name, peerRevision, now));
                    feed.onPeerConfirmation(peerRevision, confirmationAge, sentAt);
                });
            });
        }

        private void send(SimulatedHost peer, Runnable delivery) {
            int expectedIncarnation = peer.incarnation;
            if (random.nextDouble() >= messageLoss) {
                int delay = random.nextDouble() < messageLoss ? random.nextInt(3_000) : 1 + random.nextInt(3);
                schedule(delay, () -> {
                    if (peer.incarnation == expectedIncarnation) {
                        delivery.run();
                    }
                });
            }
        }

        private void carryOut(List<FeedEffect> effects) {
            for (FeedEffect effect : effects) {
                if (effect instanceof FeedEffect.Watch watch) {
                    watch(watch, incarnation);
                } else if (effect instanceof FeedEffect.RequestConfiguration request) {
                    SimulatedHost peer = hostNamed(request.host());
                    send(peer, () -> peer.carryOut(peer.feed.onPeerRequest(name, request.knownRevision(), now)));
                } else if (effect instanceof FeedEffect.Reply reply) {
                    SimulatedHost peer = hostNamed(reply.host());
                    send(peer, () -> peer.carryOut(peer.feed.onPeerReply(name, reply.update(), now)));
                } else if (effect instanceof FeedEffect.Announce announce) {
                    announce.hosts().forEach(h -> probe(hostNamed(h)));
                } else if (effect instanceof FeedEffect.Adopted adopted) {
                    FleetConfiguration first = contentsByRevision.putIfAbsent(
                            adopted.configuration().revision(), adopted.configuration());
                    assertWithMessage("single content of each revision")
                            .that(first == null || first.equals(adopted.configuration()))
                            .isTrue();
                }
            }
        }

        private SimulatedHost hostNamed(String host) {
            return hosts.get(Integer.parseInt(host.substring(1)));
        }

        private void watch(FeedEffect.Watch watch, int expectedIncarnation) {
            store.call(new StoreRequest.Read(ChangeCommitter.HEAD_KEY), reply -> {
                if (expectedIncarnation == incarnation) {
                    replyToWatch(watch, expectedIncarnation, reply, now);
                }
            });
        }

        /** Replies immediately if the version differs or the wait time is over; otherwise checks again later. */
        private void replyToWatch(FeedEffect.Watch watch, int expectedIncarnation, StoreReply reply, long startedAt) {
            if (expectedIncarnation != incarnation) {
                return;
            }
            boolean unchanged = reply.outcome() == StoreOutcome.OK && reply.version() <= watch.afterVersion()
                    || reply.outcome() == StoreOutcome.ABSENT;
            if (unchanged && now - startedAt < watch.waitMillis()) {
                schedule(TICK_MILLIS, () -> {
                    long version = store.version(ChangeCommitter.HEAD_KEY);
                    byte[] value = store.value(ChangeCommitter.HEAD_KEY);
                    StoreOutcome outcome = value == null ? StoreOutcome.ABSENT : StoreOutcome.OK;
                    replyToWatch(
                            watch,
                            expectedIncarnation,
                            new StoreReply(ChangeCommitter.HEAD_KEY, outcome, version, value),
                            startedAt);
                });
                return;
            }
            HeadDocument head = unchanged || reply.value() == null ? null : codec.decodeHead(reply.value());
            carryOut(feed.onStoreReply(watch.callId(), reply.outcome(), reply.version(), head, now));
        }
    }
}
