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

/** Hosts, racing operators, a faulty store and faulty links in simulated time. */
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
    private final Map<Long, FleetConfiguration> contents = new HashMap<>();
    private final ConfigurationEditor editor = new ConfigurationEditor(new Planner());
    private double messageLoss;
    private long now = 1;
    private long order;
    private int submitted;

    private record Event(long at, long order, Runnable action) {}

    ConfigurationSimulation(long seed, int hostCount, int domains, double faultRate) {
        random = new Random(seed);
        messageLoss = faultRate;
        store = new FaultyStore(random, this::after, faultRate);
        List<FeedMember> members = new ArrayList<>();
        for (int i = 0; i < hostCount; i++) {
            members.add(new FeedMember("h" + i, "d" + i % domains));
        }
        for (int i = 0; i < hostCount; i++) {
            SimulatedHost host = new SimulatedHost(i, members);
            hosts.add(host);
            host.restart();
            after(random.nextInt(TICK_MILLIS), host::tick);
            after(random.nextInt(PROBE_MILLIS), host::probe);
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

    /** Submits a change for the newest revision that a random host knows, as an operator would. */
    void submit() {
        String id = "c" + submitted++;
        SimulatedHost host = hosts.get(random.nextInt(hosts.size()));
        Change change = new Change.PutOrganisation(new Organisation(id, 1, 1, 1, null));
        ChangeSubmission submission =
                new ChangeSubmission(id, host.holder.revision(), "operator", "test", List.of(change), now);
        ChangeCommitter committer = new ChangeCommitter(submission, editor, codec, random);
        perform(id, committer, committer.start(now), host);
    }

    int committed() {
        return (int) results.values().stream()
                .filter(r -> r instanceof CommitResult.Committed)
                .count();
    }

    /** Checks that the store holds exactly the accepted changes and that every host has its revision. */
    void check() {
        assertWithMessage("answered changes").that(results).hasSize(submitted);
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
                    .that(host.holder.revision())
                    .isEqualTo(head.revision());
            assertWithMessage("content of " + host.name)
                    .that(host.holder.current())
                    .isEqualTo(head);
        }
    }

    /** Returns the number of hosts that hold the newest revision in the store. */
    int hostsUpToDate() {
        long head = codec.decodeHead(store.value(ChangeCommitter.HEAD_KEY))
                .configuration()
                .revision();
        return (int) hosts.stream().filter(h -> h.holder.revision() == head).count();
    }

    private void after(int millis, Runnable action) {
        events.add(new Event(now + millis, order++, action));
    }

    private void perform(String id, ChangeCommitter committer, List<CommitEffect> effects, SimulatedHost host) {
        for (CommitEffect effect : effects) {
            if (effect instanceof CommitEffect.Call call) {
                store.call(call.request(), reply -> perform(id, committer, committer.onReply(reply, now), host));
            } else if (effect instanceof CommitEffect.WakeAt wake) {
                after((int) (wake.millis() - now), () -> perform(id, committer, committer.onTimer(now), host));
            } else if (effect instanceof CommitEffect.Done done) {
                results.put(id, done.result());
                if (done.result() instanceof CommitResult.Committed c && random.nextBoolean()) {
                    host.perform(host.feed.onHead(c.version(), c.head(), now));
                }
            }
        }
    }

    /** Host with its feed; messages to it are lost, late and out of order. */
    private final class SimulatedHost {
        private final String name;
        private final String domain;
        private final List<FeedMember> members;
        private ConfigurationTracker holder;
        private ConfigurationFeed feed;
        private int incarnation;

        SimulatedHost(int index, List<FeedMember> members) {
            this.name = members.get(index).host();
            this.domain = members.get(index).failureDomain();
            this.members = members;
        }

        void restart() {
            incarnation++;
            holder = new ConfigurationTracker();
            feed = new ConfigurationFeed(name, domain, FeedSettings.defaults(), holder, random, now);
            feed.onMembersChanged(members, now);
        }

        void tick() {
            perform(feed.onTick(now));
            after(TICK_MILLIS, this::tick);
        }

        /** Probes a random member of the failure domain, as the membership does. */
        void probe() {
            List<SimulatedHost> peers = hosts.stream()
                    .filter(h -> h != this && h.domain.equals(domain))
                    .toList();
            if (!peers.isEmpty()) {
                probe(peers.get(random.nextInt(peers.size())));
            }
            after(PROBE_MILLIS, this::probe);
        }

        private void probe(SimulatedHost peer) {
            long revision = holder.revision();
            long sentAt = now;
            send(peer, () -> {
                peer.perform(peer.feed.onPeerRevision(name, revision, now));
                long theirs = peer.holder.revision();
                long age = peer.holder.confirmationAgeMillis(now);
                peer.send(this, () -> {
                    perform(feed.onPeerRevision(peer.name, theirs, now));
                    feed.onPeerConfirmation(theirs, age, sentAt);
                });
            });
        }

        private void send(SimulatedHost peer, Runnable delivery) {
            int target = peer.incarnation;
            if (random.nextDouble() >= messageLoss) {
                int delay = random.nextDouble() < messageLoss ? random.nextInt(3_000) : 1 + random.nextInt(3);
                after(delay, () -> {
                    if (peer.incarnation == target) {
                        delivery.run();
                    }
                });
            }
        }

        private void perform(List<FeedEffect> effects) {
            for (FeedEffect effect : effects) {
                if (effect instanceof FeedEffect.Watch watch) {
                    watch(watch, incarnation);
                } else if (effect instanceof FeedEffect.RequestConfiguration ask) {
                    SimulatedHost peer = hostNamed(ask.host());
                    send(peer, () -> peer.perform(peer.feed.onPeerRequest(name, ask.knownRevision(), now)));
                } else if (effect instanceof FeedEffect.Reply reply) {
                    SimulatedHost peer = hostNamed(reply.host());
                    send(peer, () -> peer.perform(peer.feed.onPeerReply(name, reply.update(), now)));
                } else if (effect instanceof FeedEffect.Announce announce) {
                    announce.hosts().forEach(h -> probe(hostNamed(h)));
                } else if (effect instanceof FeedEffect.Adopted adopted) {
                    FleetConfiguration first =
                            contents.putIfAbsent(adopted.configuration().revision(), adopted.configuration());
                    assertWithMessage("two contents of one revision")
                            .that(first == null || first.equals(adopted.configuration()))
                            .isTrue();
                }
            }
        }

        private SimulatedHost hostNamed(String host) {
            return hosts.get(Integer.parseInt(host.substring(1)));
        }

        private void watch(FeedEffect.Watch watch, int life) {
            store.call(new StoreRequest.Read(ChangeCommitter.HEAD_KEY), r -> {
                if (life == incarnation) {
                    answer(watch, life, r, now);
                }
            });
        }

        /** Answers at once if the version differs or the time is over, otherwise looks again later. */
        private void answer(FeedEffect.Watch watch, int life, StoreReply reply, long since) {
            if (life != incarnation) {
                return;
            }
            boolean unchanged = reply.outcome() == StoreOutcome.OK && reply.version() <= watch.afterVersion()
                    || reply.outcome() == StoreOutcome.ABSENT;
            if (unchanged && now - since < watch.waitMillis()) {
                after(TICK_MILLIS, () -> {
                    long version = store.version(ChangeCommitter.HEAD_KEY);
                    byte[] value = store.value(ChangeCommitter.HEAD_KEY);
                    StoreOutcome outcome = value == null ? StoreOutcome.ABSENT : StoreOutcome.OK;
                    answer(watch, life, new StoreReply(ChangeCommitter.HEAD_KEY, outcome, version, value), since);
                });
                return;
            }
            HeadDocument head = unchanged || reply.value() == null ? null : codec.decodeHead(reply.value());
            perform(feed.onStoreReply(watch.callId(), reply.outcome(), reply.version(), head, now));
        }
    }
}
