package org.gooseberryring.coordination.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.state.Organisation;

import static com.google.common.truth.Truth.assertWithMessage;

/** Seven hosts in three failure domains with their token pools, keepers and ledgers, under a simulated clock. */
final class LimitSimulation {
    static final String ORGANISATION = "inkingi";

    private static final long TICK_MILLIS = 10;

    /** Probabilities of faults of the network and the store. */
    record Faults(double lost, double repeated, double late, double replyLost) {
        static final Faults NONE = new Faults(0, 0, 0, 0);
    }

    private record Event(long at, long sequence, Runnable action) {}

    /** One host; a new process replaces all its components. */
    final class Host {
        private final String name;
        private final String domain;
        private final String address;
        private final long clockOffset;
        private long incarnation;
        private boolean alive;
        private boolean frozen;
        private List<Runnable> inbox = new ArrayList<>();
        private TokenKeeper keeper;
        private TokenPool tokenPool;
        private QuotaLedger ledger;
        private QuotaDocument known;
        private final Map<String, Integer> running = new HashMap<>();
        private final Map<String, Long> waiting = new HashMap<>();

        private Host(String name, String domain, String address) {
            this.name = name;
            this.domain = domain;
            this.address = address;
            this.clockOffset = random.nextInt(1_000_000);
        }

        void start() {
            alive = true;
            frozen = false;
            incarnation++;
            inbox = new ArrayList<>();
            running.clear();
            waiting.clear();
            keeper = new TokenKeeper(name, incarnation, settings);
            tokenPool = new TokenPool(name, incarnation, settings);
            ledger = new QuotaLedger(new KeeperIdentity(name, incarnation, domain, address), settings, store, keeper);
            known = null;
            configure(organisation, revision);
        }

        List<String> keepers() {
            return ledger.keepers(ORGANISATION);
        }

        String name() {
            return name;
        }

        void kill() {
            alive = false;
        }

        void freeze(long millis) {
            frozen = true;
            long frozenIncarnation = incarnation;
            at(millis, () -> {
                if (alive && incarnation == frozenIncarnation) {
                    frozen = false;
                    List<Runnable> arrived = inbox;
                    inbox = new ArrayList<>();
                    arrived.forEach(Runnable::run);
                }
            });
        }

        void leave() {
            ledger.leave();
        }

        boolean isHandedOver() {
            return ledger.isHandedOver();
        }

        void configure(Organisation changed, long changedRevision) {
            deliver(() -> {
                tokenPool.configure(Map.of(ORGANISATION, changed), clock());
                ledger.configure(changedRevision, Map.of(ORGANISATION, changed));
                ledger.setMembers(hosts.stream()
                        .filter(host -> host.domain.equals(domain) && host.alive)
                        .map(host -> host.name)
                        .toList());
            });
        }

        /** Runs an action in the host's process, after it resumes if it is frozen. */
        void deliver(Runnable action) {
            if (!alive) {
                return;
            }
            if (frozen) {
                inbox.add(action);
            } else {
                action.run();
            }
        }

        void request(long tokens, long used, long runMillis) {
            String id = name + "-" + incarnation + "-" + ++requests;
            deliver(() -> {
                Admission admission = tokenPool.reserve(id, ORGANISATION, tokens, clock());
                waiting.put(id, tokens * 1_000_000 + used);
                runTimes.put(id, runMillis);
                decide(id, admission);
                flush();
            });
        }

        private void decide(String id, Admission admission) {
            if (admission.kind() == Admission.Kind.PENDING) {
                return;
            }
            long packed = waiting.remove(id);
            long runMillis = runTimes.remove(id);
            if (admission.kind() == Admission.Kind.REFUSED) {
                refused++;
                lastRetryAfter = admission.retryAfterMillis();
                return;
            }
            long used = packed % 1_000_000;
            running.put(id, log.admit(now, packed / 1_000_000));
            long ownIncarnation = incarnation;
            at(
                    runMillis,
                    () -> deliver(() -> {
                        if (incarnation == ownIncarnation && running.containsKey(id)) {
                            log.settle(running.remove(id), used);
                            tokenPool.settle(id, used, clock());
                            flush();
                        }
                    }));
        }

        private void tick() {
            deliver(() -> {
                if (known != ledger.document()) {
                    known = ledger.document();
                    tokenPool.setKeepers(ORGANISATION, ledger.keepers(ORGANISATION));
                }
                tokenPool.tick(clock());
                applyEffects(keeper.tick(clock()));
                applyEffects(ledger.tick(clock()));
                flush();
            });
        }

        private void flush() {
            applyEffects(tokenPool.drain());
        }

        private void applyEffects(List<LimitEffect> effects) {
            for (LimitEffect effect : effects) {
                if (effect instanceof LimitEffect.Send send) {
                    send(this, send.host(), send.message());
                } else if (effect instanceof LimitEffect.Decided decided) {
                    decide(decided.requestId(), decided.admission());
                } else if (effect instanceof LimitEffect.Store call) {
                    callStore(call);
                }
            }
        }

        private void callStore(LimitEffect.Store call) {
            long ownIncarnation = incarnation;
            long applyAfter = 1 + random.nextInt(20);
            at(applyAfter, () -> {
                FakeQuotaStore.Mode mode = storeMode;
                if (mode == FakeQuotaStore.Mode.UP && random.nextDouble() < faults.replyLost) {
                    mode = random.nextBoolean()
                            ? FakeQuotaStore.Mode.REPLY_LOST_AFTER_EFFECT
                            : FakeQuotaStore.Mode.REPLY_LOST_WITHOUT_EFFECT;
                }
                QuotaDocument before = store.document();
                StoreReply reply = store.call(call.request(), mode);
                checkDocument(before, store.document());
                recordLimit();
                at(
                        delay(),
                        () -> deliver(() -> {
                            if (incarnation == ownIncarnation) {
                                ledger.onStoreReply(reply, clock());
                            }
                        }));
            });
        }

        private void receive(String sender, TokenMessage message) {
            if (message instanceof TokenMessage.Request request) {
                applyEffects(keeper.onRequest(sender, request, clock()));
            } else if (message instanceof TokenMessage.Return tokenReturn) {
                keeper.onReturn(sender, tokenReturn, clock());
            } else if (message instanceof TokenMessage.Grant grant) {
                tokenPool.onGrant(sender, grant, clock());
                applyEffects(keeper.onGrant(sender, grant, clock()));
                flush();
            }
        }

        private long clock() {
            return now + clockOffset;
        }
    }

    private final Random random;
    private final LimitSettings settings;
    private final Faults faults;
    private final FakeQuotaStore store = new FakeQuotaStore();
    private final AdmissionLog log = new AdmissionLog();
    private final List<Host> hosts = new ArrayList<>();
    private final Map<String, Long> runTimes = new HashMap<>();
    private final Map<Long, Organisation> revisions = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private FakeQuotaStore.Mode storeMode = FakeQuotaStore.Mode.UP;
    private String partitionedDomain;
    private Organisation organisation;
    private long revision;
    private long now;
    private long sequence;
    private long requests;
    private long refused;
    private long lastRetryAfter;

    LimitSimulation(long seed, LimitSettings settings, Faults faults, long rate, long burst) {
        this.random = new Random(seed);
        this.settings = settings;
        this.faults = faults;
        for (int i = 0; i < 7; i++) {
            hosts.add(new Host("host-" + i, "domain-" + i % 3, "10.0.0." + i + ":7000"));
        }
        reconfigure(rate, burst);
        hosts.forEach(Host::start);
        hosts.forEach(host -> host.configure(organisation, revision));
        at(TICK_MILLIS, this::tick);
    }

    Random random() {
        return random;
    }

    AdmissionLog log() {
        return log;
    }

    List<Host> hosts() {
        return hosts;
    }

    long now() {
        return now;
    }

    long refused() {
        return refused;
    }

    long lastRetryAfter() {
        return lastRetryAfter;
    }

    void store(FakeQuotaStore.Mode mode) {
        storeMode = mode;
    }

    /** Returns the quota of a host in the store, or null. */
    Quota allotted(String host) {
        return store.document().of(host).get(ORGANISATION);
    }

    long totalRate() {
        return store.document().rateOf(ORGANISATION);
    }

    /** Partitions a failure domain from the other domains; null ends the partition. */
    void partition(String domain) {
        partitionedDomain = domain;
    }

    /** Changes the rate and burst; each host is notified after a random delay. */
    void reconfigure(long rate, long burst) {
        organisation = new Organisation(ORGANISATION, rate, burst, 1, null);
        revisions.put(++revision, organisation);
        recordLimit();
        Organisation changed = organisation;
        long changedRevision = revision;
        for (Host host : hosts) {
            at(random.nextInt(2_000), () -> {
                if (changedRevision == revision && host.alive) {
                    host.configure(changed, changedRevision);
                }
            });
        }
    }

    void at(long delayMillis, Runnable action) {
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

    private void tick() {
        hosts.forEach(Host::tick);
        at(TICK_MILLIS, this::tick);
    }

    private void recordLimit() {
        QuotaDocument document = store.document();
        log.limit(
                now,
                Math.max(organisation.rateTokensPerSecond(), document.rateOf(ORGANISATION)),
                Math.max(organisation.burstTokens(), document.burstOf(ORGANISATION)));
    }

    private void checkDocument(QuotaDocument before, QuotaDocument after) {
        Organisation followed = revisions.getOrDefault(after.revision(), organisation);
        assertWithMessage("rate allotted at %s: %s", now, after)
                .that(after.rateOf(ORGANISATION))
                .isAtMost(Math.max(followed.rateTokensPerSecond(), before.rateOf(ORGANISATION)));
        assertWithMessage("burst allotted at %s: %s", now, after)
                .that(after.burstOf(ORGANISATION))
                .isAtMost(Math.max(followed.burstTokens(), before.burstOf(ORGANISATION)));
    }

    private void send(Host from, String to, TokenMessage message) {
        int copies = random.nextDouble() < faults.repeated ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() < faults.lost) {
                continue;
            }
            at(
                    delay(),
                    () -> hosts.stream()
                            .filter(host -> host.name.equals(to) && connected(from, host))
                            .forEach(host -> host.deliver(() -> host.receive(from.name, message))));
        }
    }

    private boolean connected(Host a, Host b) {
        return a.domain.equals(b.domain)
                || partitionedDomain == null
                || !(a.domain.equals(partitionedDomain) || b.domain.equals(partitionedDomain));
    }

    private long delay() {
        return random.nextDouble() < faults.late ? random.nextInt(6_000) : 1 + random.nextInt(2);
    }
}
