package org.gooseberryring.coordination.route;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.UnaryOperator;

import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Hosts that share one endpoint over a network that loses, delays and repeats messages, with a store that may be down.
 *
 * <p>Hosts crash, freeze, restart and move the coordinator; their clocks differ by up to 4%. The endpoint runs each
 * request to its end, also after its host died.
 */
final class CreditWorld {
    static final int CONCURRENCY = 6;
    private static final CreditRules RULES = new CreditRules(200, 300, 3_000, 50);
    private static final String ENDPOINT = "e";
    private static final Endpoint CONFIGURATION =
            new Endpoint(ENDPOINT, EndpointKind.MODEL, "d", "127.0.0.1:1", 0, CONCURRENCY, true, false);

    private record Event(long at, long order, Process target, Runnable action) {}

    private record StoreRecord(long term, HolderId home, Set<HolderId> roster, Set<HolderId> predecessors) {}

    /** One process of a host. */
    private final class Process {
        private final HolderId id;
        private final CreditHolder holder = new CreditHolder();
        private final CreditCoordinator home;
        private final EndpointCredits credits = holder.of(CONFIGURATION);
        private final double rate = 0.96 + random.nextDouble() * 0.08;
        private final long offset = random.nextInt(100_000);
        private boolean dead;
        private long frozenUntil;
        private long homeTerm;

        Process(HolderId id) {
            this.id = id;
            this.home = new CreditCoordinator(id, RULES);
        }

        long clock() {
            return offset + (long) (time * rate);
        }

        void arrive() {
            credits.want(clock());
            if (credits.available(clock())) {
                credits.acquire(clock());
                long writeBefore = holder.writeBefore(ENDPOINT);
                later(random.nextInt(3), this, () -> write(writeBefore));
                freezeAtWorstTime();
            }
            poll();
        }

        void write(long writeBefore) {
            if (clock() >= writeBefore) {
                credits.release(clock());
                return;
            }
            running++;
            started++;
            assertWithMessage("requests in flight at the endpoint")
                    .that(running)
                    .isAtMost(CONCURRENCY);
            boolean lasts = random.nextInt(4) == 0;
            later(1 + random.nextInt(lasts ? (int) RULES.maxRequestMillis() - 1 : 40), null, () -> {
                running--;
                later(0, this, () -> {
                    credits.release(clock());
                    holder.ended(ENDPOINT, true, false);
                    poll();
                });
            });
        }

        void poll() {
            for (CreditHolder.Outgoing outgoing : holder.poll(clock())) {
                Process target = find(outgoing.home());
                if (target != null) {
                    send(target, () -> target.requested(this, outgoing.request()));
                }
                freezeAtWorstTime();
            }
        }

        /** Freezes between a request for credits and its grant, or between a decision and the write to the endpoint. */
        void freezeAtWorstTime() {
            if (faults && random.nextInt(80) == 0) {
                frozenUntil = time + 500 + random.nextInt(1_500);
            }
        }

        void requested(Process sender, CreditMessage.Request request) {
            CreditMessage.Grant grant = home.requested(sender.id, request, clock());
            if (grant != null) {
                send(sender, () -> {
                    sender.holder.granted(grant, sender.clock());
                    sender.poll();
                });
            }
            if (home.mustEnrol(sender.id)) {
                update(record -> {
                    Set<HolderId> roster = new HashSet<>(record.roster());
                    roster.add(sender.id);
                    return new StoreRecord(record.term(), record.home(), roster, record.predecessors());
                });
            }
        }

        /** Changes the record if this process is still the coordinator; the reply may be lost or delayed. */
        void update(UnaryOperator<StoreRecord> change) {
            if (!storeUp || homeTerm != record.term()) {
                return;
            }
            record = change.apply(record);
            read();
        }

        void read() {
            if (!storeUp) {
                return;
            }
            StoreRecord seen = record;
            long sentAt = clock();
            send(this, () -> recordSeen(seen, sentAt));
        }

        void recordSeen(StoreRecord seen, long sentAt) {
            if (seen.home().equals(id) && seen.term() == homeTerm) {
                home.confirmed(sentAt, seen.roster());
            } else if (seen.term() > homeTerm && homeTerm > 0) {
                homeTerm = 0;
                home.retire(ENDPOINT);
                Process successor = find(seen.home());
                if (successor != null) {
                    send(successor, () -> successor.home.predecessorStopped(ENDPOINT, id, successor.clock()));
                }
            }
            holder.homeChanged(ENDPOINT, seen.home(), seen.term());
            poll();
        }

        /** Hands the coordinator role to another process; the old one stops before the store records the new one. */
        void handOver(Process successor) {
            if (!storeUp || homeTerm != record.term() || successor == this) {
                return;
            }
            homeTerm = 0;
            Map<HolderId, Integer> holdings = home.retire(ENDPOINT);
            StoreRecord taken =
                    new StoreRecord(record.term() + 1, successor.id, record.roster(), record.predecessors());
            record = taken;
            later(random.nextInt(20), successor, () -> {
                successor.homeTerm = Math.max(successor.homeTerm, taken.term());
                successor.home.handedOver(
                        ENDPOINT, taken.term(), CONCURRENCY, holdings, taken.predecessors(), successor.clock());
                successor.read();
            });
        }

        void takeOver() {
            if (!storeUp || record.home().equals(id)) {
                return;
            }
            Set<HolderId> predecessors = new HashSet<>(record.predecessors());
            predecessors.add(record.home());
            StoreRecord taken = new StoreRecord(record.term() + 1, id, record.roster(), predecessors);
            record = taken;
            later(random.nextInt(20), this, () -> {
                homeTerm = Math.max(homeTerm, taken.term());
                home.takeOver(ENDPOINT, taken.term(), CONCURRENCY, taken.roster(), predecessors, clock());
                read();
            });
        }
    }

    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private final List<Process> processes = new ArrayList<>();
    private StoreRecord record;
    private boolean storeUp = true;
    private boolean faults = true;
    private long time;
    private long order;
    private int running;
    private int started;

    CreditWorld(long seed, int hosts) {
        random = new Random(seed);
        for (int i = 0; i < hosts; i++) {
            processes.add(new Process(new HolderId("h" + i, 1)));
        }
        Process first = processes.get(0);
        record = new StoreRecord(1, first.id, Set.of(), Set.of());
        first.homeTerm = 1;
        first.home.takeOver(ENDPOINT, 1, CONCURRENCY, Set.of(), Set.of(), first.clock());
        processes.forEach(Process::read);
    }

    /** Runs for some time with faults. */
    void runWithFaults(long millis) {
        run(millis);
    }

    /** Runs without further faults and returns how many requests were started in the second half of the time. */
    int runWithoutFaults(long millis) {
        faults = false;
        storeUp = true;
        run(millis / 2);
        int before = started;
        run(millis / 2);
        return started - before;
    }

    private void run(long millis) {
        long end = time + millis;
        while (time < end) {
            if (faults) {
                fault();
            }
            for (Process process : List.copyOf(processes)) {
                if (!isStopped(process)) {
                    if (random.nextInt(4) == 0) {
                        process.arrive();
                    }
                    if (random.nextInt(40) == 0) {
                        process.read();
                    }
                    if (!faults && find(record.home()) == null) {
                        process.takeOver();
                    }
                }
            }
            time += 1 + random.nextInt(4);
            deliver();
        }
    }

    private void fault() {
        Process process = processes.get(random.nextInt(processes.size()));
        int what = random.nextInt(3_000);
        if (what < 8) {
            process.dead = true;
            processes.remove(process);
            processes.add(new Process(new HolderId(process.id.host(), process.id.incarnation() + 1)));
        } else if (what < 24) {
            process.frozenUntil = time + random.nextInt(random.nextInt(4) == 0 ? 8_000 : 600);
        } else if (what < 40 && !isStopped(process)) {
            process.takeOver();
        } else if (what < 56 && !isStopped(process)) {
            process.handOver(processes.get(random.nextInt(processes.size())));
        } else if (what < 64) {
            storeUp = !storeUp;
        }
    }

    private void send(Process target, Runnable action) {
        int copies = !faults ? 1 : random.nextInt(10) == 0 ? 0 : random.nextInt(10) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            later(faults && random.nextInt(10) == 0 ? random.nextInt(1_000) : random.nextInt(4), target, action);
        }
    }

    private void later(long delay, Process target, Runnable action) {
        events.add(new Event(time + delay, order++, target, action));
    }

    private void deliver() {
        while (!events.isEmpty() && events.peek().at() <= time) {
            Event event = events.poll();
            Process target = event.target();
            if (target == null) {
                event.action().run();
            } else if (!target.dead) {
                if (target.frozenUntil > time) {
                    events.add(new Event(target.frozenUntil, event.order(), target, event.action()));
                } else {
                    event.action().run();
                }
            }
        }
    }

    private boolean isStopped(Process process) {
        return process.dead || process.frozenUntil > time;
    }

    private Process find(HolderId id) {
        for (Process process : processes) {
            if (process.id.equals(id)) {
                return process;
            }
        }
        return null;
    }
}
