package org.gooseberryring.coordination.order;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;

/**
 * Simulates, in virtual time, hosts that share the lease of a failure domain through a store that is restored from
 * older copies.
 *
 * <p>Calls are delayed and lose their replies; hosts are partitioned from the store and restarted.
 */
final class LeaseRestoreSimulation {
    static final long LEASE_MILLIS = 5_100;

    /** Time after a renewal during which the holder may send orders, in milliseconds. */
    static final long ORDER_MILLIS = 1_900;

    /** Time after which no more faults are injected, in milliseconds. */
    static final long FAULTS_END_MILLIS = 60_000;

    private static final long STEP_MILLIS = 20;
    private static final int HOSTS = 3;
    private static final long COPY_INTERVAL_MILLIS = 250;
    private static final int COPIES = 24;
    private static final String KEY = DomainLease.key("d");

    private final Random random;
    private final OrderCodec codec = new MemoryOrderCodec();
    private final List<Host> hosts = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final Deque<State> copies = new ArrayDeque<>();
    private final List<String> violations = new ArrayList<>();
    private State state = new State(null, 0);
    private long epoch = 1;
    private long revision = 10;
    private long eventNumber;
    private long downUntil;
    private long highestTerm;
    private String termHolder = "";
    private long now;

    private record State(byte[] value, long version) {}

    private record Event(long at, long number, Runnable action) {}

    /** Host with its current process. */
    private final class Host {
        private final String name;
        private DomainLease lease;
        private int incarnation;
        private long partitionedUntil;

        private Host(String name) {
            this.name = name;
            start();
        }

        private void start() {
            incarnation++;
            lease = new DomainLease(name, "d", LEASE_MILLIS, codec, new Random(random.nextLong()));
        }

        private void step() {
            call(lease.onTick(now));
            sendOrder();
        }

        private void call(List<OrderEffect> effects) {
            int process = incarnation;
            for (OrderEffect effect : effects) {
                StoreRequest request = ((OrderEffect.Call) effect).request();
                send(this, request, reply -> {
                    if (process == incarnation) {
                        call(lease.onReply(reply, now));
                    }
                });
            }
        }

        /** Sends an order if the lease permits it, and checks its fencing number. */
        private void sendOrder() {
            if (!lease.renewedWithin(ORDER_MILLIS, now)) {
                return;
            }
            long term = lease.term();
            String holder = name + "#" + incarnation;
            if (term < highestTerm || term == highestTerm && !holder.equals(termHolder)) {
                violations.add(now + " " + holder + " orders under " + term + " after " + termHolder + " under "
                        + highestTerm);
            }
            highestTerm = Math.max(term, highestTerm);
            termHolder = holder;
            for (Host other : hosts) {
                if (other != this && other.lease.renewedWithin(ORDER_MILLIS, now)) {
                    violations.add(now + " " + name + " and " + other.name + " order at the same time");
                }
            }
        }
    }

    /** Receives the reply of the store. */
    @FunctionalInterface
    private interface Receiver {
        void accept(StoreReply reply);
    }

    LeaseRestoreSimulation(long seed) {
        random = new Random(seed);
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new Host("h" + i));
        }
    }

    /** Runs until the given time. */
    void runTo(long end) {
        for (; now < end; now += STEP_MILLIS) {
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            if (now % COPY_INTERVAL_MILLIS < STEP_MILLIS) {
                copies.addFirst(state);
                if (copies.size() > COPIES) {
                    copies.removeLast();
                }
            }
            if (now < FAULTS_END_MILLIS) {
                injectFault();
            }
            hosts.forEach(Host::step);
        }
    }

    List<String> violations() {
        return violations;
    }

    /** Returns whether exactly one host is the leader. */
    boolean hasSingleLeader() {
        return hosts.stream().filter(host -> host.lease.isLeader(now)).count() == 1;
    }

    private void injectFault() {
        Host host = hosts.get(random.nextInt(HOSTS));
        int kind = random.nextInt(12_000);
        if (kind < 40) {
            restore();
        } else if (kind < 70) {
            downUntil = now + random.nextInt(2_500);
        } else if (kind < 110) {
            host.start();
        } else if (kind < 150) {
            host.partitionedUntil = now + random.nextInt(9_000);
        }
    }

    /** Restores the store from a copy that is up to some seconds old, sometimes as two restores in a row. */
    private void restore() {
        State[] all = copies.toArray(new State[0]);
        if (all.length > 0) {
            state = all[random.nextInt(all.length)];
            epoch += 1 + random.nextInt(2);
            revision = Math.max(1, state.version()) + random.nextInt(3);
        }
    }

    private void send(Host host, StoreRequest request, Receiver receiver) {
        boolean isReachable = now >= host.partitionedUntil && now >= downUntil;
        boolean faulty = now < FAULTS_END_MILLIS;
        long requestDelay = 4 + (faulty && random.nextInt(30) == 0 ? random.nextInt(4_000) : random.nextInt(10));
        boolean replyLost = faulty && random.nextInt(25) == 0;
        if (!isReachable) {
            schedule(300, () -> receiver.accept(new StoreReply(KEY, StoreOutcome.UNAVAILABLE, 0, null)));
            return;
        }
        boolean[] replied = {false};
        schedule(requestDelay, () -> {
            StoreReply reply = execute(request);
            long replyDelay = 4 + (faulty && random.nextInt(30) == 0 ? random.nextInt(900) : random.nextInt(10));
            schedule(replyDelay, () -> {
                if (!replied[0] && !replyLost) {
                    replied[0] = true;
                    receiver.accept(reply);
                }
            });
        });
        schedule(1_000, () -> {
            if (!replied[0]) {
                replied[0] = true;
                boolean write = request instanceof StoreRequest.Put;
                StoreOutcome outcome = write ? StoreOutcome.UNKNOWN : StoreOutcome.UNAVAILABLE;
                receiver.accept(new StoreReply(KEY, outcome, 0, null));
            }
        });
    }

    private StoreReply execute(StoreRequest request) {
        if (request instanceof StoreRequest.Put put) {
            if (put.expectedVersion() != state.version()) {
                return new StoreReply(KEY, StoreOutcome.CONFLICT, 0, null, epoch);
            }
            state = new State(put.value(), ++revision);
            return new StoreReply(KEY, StoreOutcome.OK, revision, null, epoch);
        }
        return state.value() == null
                ? new StoreReply(KEY, StoreOutcome.ABSENT, 0, null, epoch)
                : new StoreReply(KEY, StoreOutcome.OK, state.version(), state.value(), epoch);
    }

    private void schedule(long millis, Runnable action) {
        events.add(new Event(now + millis, eventNumber++, action));
    }
}
