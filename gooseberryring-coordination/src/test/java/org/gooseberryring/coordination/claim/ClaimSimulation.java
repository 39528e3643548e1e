package org.gooseberryring.coordination.claim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;

import static com.google.common.truth.Truth.assertWithMessage;

/** Simulates three hosts that share one shard of claims, with a faulty store and network and a simulated clock. */
final class ClaimSimulation implements ClaimCodec {
    private static final ClaimSettings SETTINGS = new ClaimSettings(1, 5, 100, 500, 86_400_000, 800_000, 4_096, 100);

    private record Event(long at, long sequence, Runnable action) {}

    /** Host of the simulation; a restart replaces its components. */
    final class Host {
        private final String name;
        private long incarnation;
        private boolean frozen;
        private List<Runnable> inbox = new ArrayList<>();
        private ClaimShards shards;
        private ClaimRouter router;

        private Host(String name) {
            this.name = name;
        }

        /** Starts a new process; requests that the previous process dispatched may have run. */
        void start() {
            incarnation++;
            frozen = false;
            inbox = new ArrayList<>();
            shards = new ClaimShards(name, incarnation, SETTINGS, ClaimSimulation.this);
            router = new ClaimRouter(SETTINGS, ClaimSimulation.this);
            members(List.of("h0", "h1", "h2"));
        }

        void members(List<String> live) {
            deliver(() -> {
                shards.onMembersChanged(live, now);
                router.onMembersChanged(live);
            });
        }

        void freeze(long millis) {
            frozen = true;
            long expectedIncarnation = incarnation;
            schedule(millis, () -> {
                if (incarnation == expectedIncarnation) {
                    frozen = false;
                    List<Runnable> delayed = inbox;
                    inbox = new ArrayList<>();
                    delayed.forEach(Runnable::run);
                }
            });
        }

        void claim(String key) {
            String id = name + "-" + incarnation + "-" + ++requests;
            keys.put(id, key);
            deliver(() -> carryOut(router.claim(id, ClaimRouter.keyDigest("org", key), "digest", now)));
        }

        private void deliver(Runnable action) {
            if (frozen) {
                inbox.add(action);
            } else {
                action.run();
            }
        }

        private void tick() {
            deliver(() -> {
                carryOut(shards.tick(now));
                carryOut(router.tick(now));
            });
        }

        private void carryOut(List<ClaimEffect> effects) {
            long expectedIncarnation = incarnation;
            for (ClaimEffect effect : effects) {
                if (effect instanceof ClaimEffect.Send send) {
                    send(this, send.host(), send.message());
                } else if (effect instanceof ClaimEffect.ReportResult report) {
                    onResult(report);
                } else if (effect instanceof ClaimEffect.Store call) {
                    schedule(1 + random.nextInt(10), () -> {
                        StoreReply reply = store(call.request());
                        schedule(
                                delay(),
                                () -> deliver(() -> {
                                    if (incarnation == expectedIncarnation) {
                                        carryOut(
                                                call.caller() == ClaimEffect.Caller.OWNER
                                                        ? shards.onStore(reply, now)
                                                        : router.onStore(reply, now));
                                    }
                                }));
                    });
                }
            }
        }

        private void onResult(ClaimEffect.ReportResult report) {
            resultCounts.merge(report.result().decision(), 1, Integer::sum);
            String key = keys.get(report.requestId());
            if (report.result().decision() != ClaimResult.Decision.GRANTED) {
                return;
            }
            assertWithMessage("dispatches of %s that may have run, at %s", key, now)
                    .that(mayHaveRun.getOrDefault(key, 0))
                    .isEqualTo(0);
            mayHaveRun.merge(key, 1, Integer::sum);
            long expectedIncarnation = incarnation;
            int outcome = random.nextInt(4);
            schedule(
                    random.nextInt(200),
                    () -> deliver(() -> {
                        if (incarnation != expectedIncarnation) {
                            return;
                        }
                        if (outcome == 0) {
                            router.discard(report.requestId());
                        } else if (outcome == 1) {
                            carryOut(router.record(report.requestId(), 200, new byte[] {1}, now));
                        } else {
                            mayHaveRun.merge(key, -1, Integer::sum);
                            carryOut(router.release(report.requestId(), now));
                        }
                    }));
        }

        private void receive(String sender, long senderIncarnation, ClaimMessage message) {
            if (message instanceof ClaimMessage.Request request) {
                carryOut(shards.onRequest(sender, senderIncarnation, request, now));
            } else if (message instanceof ClaimMessage.Outcome outcome) {
                carryOut(shards.onOutcome(sender, senderIncarnation, outcome, now));
            } else if (message instanceof ClaimMessage.Reply reply) {
                carryOut(router.onReply(sender, reply, now));
            }
        }
    }

    private final Random random;
    private double faultRate;
    private final List<Host> hosts = new ArrayList<>();
    private final Map<String, String> keys = new HashMap<>();
    private final Map<String, Integer> mayHaveRun = new HashMap<>();
    private final Map<ClaimResult.Decision, Integer> resultCounts = new TreeMap<>();
    private final List<ClaimShardDocument> encoded = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private byte[] stored;
    private long version;
    private boolean storeDown;
    private long now;
    private long sequence;
    private long requests;

    /**
     * Starts the hosts.
     *
     * @param faultRate probability of each fault of a message or of a store call
     */
    ClaimSimulation(long seed, double faultRate) {
        this.random = new Random(seed);
        this.faultRate = faultRate;
        for (int i = 0; i < 3; i++) {
            hosts.add(new Host("h" + i));
        }
        hosts.forEach(Host::start);
        schedule(1, this::tick);
    }

    Random random() {
        return random;
    }

    List<Host> hosts() {
        return hosts;
    }

    Map<ClaimResult.Decision, Integer> resultCounts() {
        return resultCounts;
    }

    void setStoreDown(boolean isDown) {
        storeDown = isDown;
    }

    /** Ends all faults; frozen hosts resume at their scheduled time. */
    void endFaults() {
        faultRate = 0;
        storeDown = false;
        hosts.forEach(host -> host.members(List.of("h0", "h1", "h2")));
    }

    void schedule(long delayMillis, Runnable action) {
        events.add(new Event(now + delayMillis, sequence++, action));
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

    @Override
    public byte[] encode(ClaimShardDocument document) {
        encoded.add(document);
        return Integer.toString(encoded.size() - 1).getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public ClaimShardDocument decode(byte[] bytes) {
        return encoded.get(Integer.parseInt(new String(bytes, StandardCharsets.US_ASCII)));
    }

    private void tick() {
        hosts.forEach(Host::tick);
        schedule(5, this::tick);
    }

    private StoreReply store(StoreRequest request) {
        if (storeDown) {
            return new StoreReply(request.key(), StoreOutcome.UNAVAILABLE, 0, null);
        }
        boolean lost = random.nextDouble() < faultRate;
        if (lost && random.nextBoolean()) {
            return new StoreReply(request.key(), StoreOutcome.UNKNOWN, 0, null);
        }
        StoreReply reply = apply(request);
        return lost ? new StoreReply(request.key(), StoreOutcome.UNKNOWN, 0, null) : reply;
    }

    private StoreReply apply(StoreRequest request) {
        if (request instanceof StoreRequest.Put put) {
            if (put.expectedVersion() != version) {
                return new StoreReply(put.key(), StoreOutcome.CONFLICT, version, null);
            }
            stored = put.value();
            version++;
            return new StoreReply(put.key(), StoreOutcome.OK, version, null);
        }
        return stored == null
                ? new StoreReply(request.key(), StoreOutcome.ABSENT, 0, null)
                : new StoreReply(request.key(), StoreOutcome.OK, version, stored);
    }

    private void send(Host from, String to, ClaimMessage message) {
        int copies = random.nextDouble() < faultRate ? 2 : 1;
        long incarnation = from.incarnation;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= faultRate) {
                schedule(
                        delay(),
                        () -> hosts.stream()
                                .filter(host -> host.name.equals(to))
                                .forEach(host -> host.deliver(() -> host.receive(from.name, incarnation, message))));
            }
        }
    }

    private long delay() {
        return random.nextDouble() < faultRate ? random.nextInt(2_000) : 1 + random.nextInt(2);
    }
}
