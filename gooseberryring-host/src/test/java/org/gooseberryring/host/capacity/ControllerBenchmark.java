package org.gooseberryring.host.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;

import org.gooseberryring.coordination.order.EndpointReport;
import org.gooseberryring.coordination.order.OrderController;
import org.gooseberryring.coordination.order.OrderEffect;
import org.gooseberryring.coordination.order.OrderSettings;
import org.gooseberryring.coordination.route.Router;
import org.gooseberryring.coordination.route.UnsharedCredits;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.host.control.JsonOrderCodec;
import org.gooseberryring.protocol.HostEntry;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.FleetConfiguration;

/** Measures the controller of a failure domain and router ticks by endpoints, and the host list by hosts. */
public final class ControllerBenchmark {
    private static final int[] ENDPOINTS = {357, 715, 1_430};
    private static final int[] HOSTS = {350, 700, 1_400};
    private static final int TICK_MILLIS = 10;
    private static final int START_TICKS = 400;

    private final OrderController controller = new OrderController(
            "host-1", "d0", OrderSettings.forWeightStore(10, 6), new JsonOrderCodec(), new SplittableRandom(1));
    private final Map<String, Long> versions = new HashMap<>();
    private final Map<String, byte[]> objects = new HashMap<>();
    private final List<EndpointReport> reports = new ArrayList<>();
    private long now = 1;
    private long reads;
    private long writes;

    private ControllerBenchmark(FleetConfiguration c) {
        controller.onConfiguration(c, now);
        controller.setCandidate(true);
        c.placements()
                .forEach((id, artifacts) ->
                        reports.add(new EndpointReport(id, 1, new HashSet<>(artifacts), Set.of(), 1L << 36, 0)));
        for (int i = 0; i < START_TICKS; i++) {
            tick();
        }
    }

    /** Prints one line with data points and fitted line per slope. */
    public static void main(String[] args) {
        Slope tick = new Slope("one tick of the controller by endpoints", "CPU ms");
        Slope report = new Slope("one report at the controller by endpoints", "CPU ms");
        Slope reads = new Slope("store reads in the first 4 s of a term", "reads");
        Slope writes = new Slope("store writes in the first 4 s of a term", "writes");
        Slope heap = new Slope("controller by endpoints", "MB");
        Slope router = new Slope("one tick of the router by endpoints", "CPU ms");
        for (int n : ENDPOINTS) {
            FleetConfiguration c = TargetFleet.of(1_900, n, 1, 1);
            ControllerBenchmark benchmark = new ControllerBenchmark(c);
            reads.add(n, benchmark.reads);
            writes.add(n, benchmark.writes);
            tick.add(n, Slope.cpuMillis(100, benchmark::tick));
            report.add(n, Slope.cpuMillis(5, () -> benchmark.report()) / n);
            heap.add(n, Slope.heapMegabytes(() -> new ControllerBenchmark(c)));
            Router r = new Router("d0", new Random(1), new UnsharedCredits());
            r.configured(c, 0);
            router.add(n, Slope.cpuMillis(1_000, () -> r.tick(1)));
        }
        reads.print();
        writes.print();
        tick.print();
        report.print();
        heap.print();
        router.print();
        Slope list = new Slope("list of hosts", "bytes");
        for (int n : HOSTS) {
            List<HostEntry> hosts = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                String address = "10.0." + i / 256 + "." + i % 256;
                hosts.add(new HostEntry(
                        String.format("host-%04d", i), "d" + i % 7, address + ":7000", address + ":7001", "live"));
            }
            list.add(n, Json.write(hosts).length);
        }
        list.print();
    }

    private void tick() {
        now += TICK_MILLIS;
        execute(controller.onTick(now));
        if (now % 1_000 < TICK_MILLIS) {
            report();
        }
    }

    private void report() {
        for (EndpointReport r : reports) {
            EndpointReport updated = new EndpointReport(
                    r.endpoint(), r.incarnation(), r.loaded(), r.pendingOrders(), r.memoryUsedBytes(), now - 1);
            execute(controller.onReport(updated, now));
        }
    }

    /** Executes effects; every store call gets its reply immediately. */
    private void execute(List<OrderEffect> effects) {
        Deque<OrderEffect> queue = new ArrayDeque<>(effects);
        while (!queue.isEmpty()) {
            if (queue.poll() instanceof OrderEffect.Call call) {
                queue.addAll(controller.onStoreReply(reply(call.request()), now));
            }
        }
    }

    private StoreReply reply(StoreRequest request) {
        String key = request.key();
        if (request instanceof StoreRequest.Put put) {
            writes++;
            objects.put(key, put.value());
            return new StoreReply(key, StoreOutcome.OK, versions.merge(key, 1L, Long::sum), null);
        }
        reads++;
        return objects.containsKey(key)
                ? new StoreReply(key, StoreOutcome.OK, versions.get(key), objects.get(key))
                : new StoreReply(key, StoreOutcome.ABSENT, 0, null);
    }
}
