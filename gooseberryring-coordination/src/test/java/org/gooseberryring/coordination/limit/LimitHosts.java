package org.gooseberryring.coordination.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.state.Organisation;

/** Hosts that report their usage to each other and keep the excess of the organisation in a store. */
final class LimitHosts {
    static final long RATE = 50_000;
    static final long BURST = 60_000;
    static final long WINDOW_MILLIS = 8_000;

    /** Tolerated excess over the limit: this fraction of the limit plus a number of tokens. */
    static final double OVERAGE = 0.1;

    static final long SMALL_SLACK = 7_500;

    private static final long MESSAGE_MILLIS = 250;

    private record Admitted(long at, long tokens) {}

    private final List<SharedLimits> hosts = new ArrayList<>();
    private final LimitUseStore store = new LimitUseStore();
    private final List<StoredLimitUse> stored = new ArrayList<>();
    private final List<Admitted> admitted = new ArrayList<>();
    private int requests;
    private long incarnation = 1;
    private int partitioned = 1;

    LimitHosts(int count, long seed) {
        for (int i = 0; i < count; i++) {
            hosts.add(limits(count, 0));
            stored.add(new StoredLimitUse("use", store, WINDOW_MILLIS));
        }
    }

    /** Restarts all hosts without their previous state. */
    void restart(long now) {
        incarnation++;
        for (int i = 0; i < hosts.size(); i++) {
            hosts.set(i, limits(hosts.size(), now));
            stored.set(i, new StoredLimitUse("use", store, WINDOW_MILLIS));
        }
    }

    int storeWrites() {
        return store.writes();
    }

    private static SharedLimits limits(int hostCount, long now) {
        SharedLimits limits = new SharedLimits(WINDOW_MILLIS);
        limits.setHostCount(hostCount);
        limits.configure(List.of(new Organisation("o", RATE, BURST, 1, null)), now);
        return limits;
    }

    /** Advances the time; no messages are sent if all hosts are partitioned. */
    void tick(long now, boolean connected, boolean allCut) {
        if (allCut) {
            hosts.forEach(host -> host.tick(now));
            callStore(now);
        } else {
            tick(now, connected);
        }
    }

    /** Sets the number of hosts, one if not set, that are partitioned from the others while not connected. */
    void setPartitioned(int count) {
        partitioned = count;
    }

    /** Lets each host make the store calls that are due; the first one writes. */
    private void callStore(long now) {
        for (int i = 0; i < hosts.size(); i++) {
            if (now % MESSAGE_MILLIS == i * 10 % MESSAGE_MILLIS) {
                callStore(stored.get(i), hosts.get(i), i == 0, now);
            }
        }
    }

    private void callStore(StoredLimitUse use, SharedLimits limits, boolean isWriter, long now) {
        StoreRequest request = use.next(isWriter ? limits.excesses(now) : Map.of(), isWriter, now);
        if (request != null) {
            use.onReply(store.call(request), now).ifPresent(read -> limits.onEarlierExcesses(read, now));
        }
    }

    /** Advances the time; the first hosts are partitioned from the others unless the hosts are connected. */
    void tick(long now, boolean connected) {
        callStore(now);
        for (int i = 0; i < hosts.size(); i++) {
            hosts.get(i).tick(now);
            if (now % MESSAGE_MILLIS != i * 10 % MESSAGE_MILLIS) {
                continue;
            }
            for (int other = 0; other < hosts.size(); other++) {
                if (other != i && (connected || i < partitioned == other < partitioned)) {
                    hosts.get(other)
                            .onUsageReport("h" + i, incarnation, hosts.get(i).used(), now);
                }
            }
        }
    }

    SharedLimits host(int index) {
        return hosts.get(index);
    }

    boolean request(int host, long tokens, long now) {
        boolean ok = hosts.get(host).reserve("r" + requests++, "o", tokens, now).kind() == Admission.Kind.ADMITTED;
        if (ok) {
            admitted.add(new Admitted(now, tokens));
        }
        return ok;
    }

    long largestInWindow() {
        long largest = 0;
        long sum = 0;
        int from = 0;
        for (Admitted each : admitted) {
            sum += each.tokens();
            while (admitted.get(from).at() <= each.at() - WINDOW_MILLIS) {
                sum -= admitted.get(from++).tokens();
            }
            largest = Math.max(largest, sum);
        }
        return largest;
    }
}
