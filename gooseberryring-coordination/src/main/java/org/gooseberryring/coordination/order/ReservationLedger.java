package org.gooseberryring.coordination.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import org.gooseberryring.state.Artifact;

/**
 * Pure transitions of the ledger of one endpoint.
 *
 * <p>The memory that an endpoint may use is that of the union of its loaded artifacts and the artifacts that any order
 * in the ledger may load. An order stays in the ledger until it can no longer arrive, even after its effect was
 * reported, because it may be delivered again.
 */
public final class ReservationLedger {
    private ReservationLedger() {}

    /** Returns the ledger of an endpoint whose state is unknown. */
    public static LedgerDocument empty(String endpoint) {
        return new LedgerDocument("", endpoint, List.of(), List.of());
    }

    /** Returns the memory that may be in use, in bytes. */
    public static long reservedBytes(LedgerDocument ledger) {
        Map<Artifact, Long> bytes = new HashMap<>();
        ledger.loaded().forEach(entry -> bytes.merge(entry.artifact(), entry.bytes(), Math::max));
        for (Order order : ledger.orders()) {
            if (order.action() == Order.Action.LOAD) {
                bytes.merge(order.artifact(), order.bytes(), Math::max);
            }
        }
        return bytes.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns whether the last applied report listed the artifact. */
    public static boolean isLoaded(LedgerDocument ledger, Artifact artifact) {
        return ledger.loaded().stream().anyMatch(entry -> entry.artifact().equals(artifact));
    }

    /** Returns whether the artifact is loaded and no order can unload it. */
    public static boolean isConfirmed(LedgerDocument ledger, Artifact artifact) {
        return isLoaded(ledger, artifact) && !hasOrder(ledger, artifact, Order.Action.UNLOAD);
    }

    /** Returns whether an order of this kind for the artifact may still take effect. */
    public static boolean hasOrder(LedgerDocument ledger, Artifact artifact, Order.Action action) {
        return ledger.orders().stream()
                .anyMatch(o -> o.action() == action && o.artifact().equals(artifact));
    }

    /**
     * Returns whether a load fits into the memory in addition to all reserved memory.
     *
     * @param memoryBytes accelerator memory of the endpoint
     */
    public static boolean fits(LedgerDocument ledger, Artifact artifact, long bytes, long memoryBytes) {
        boolean reserved = isLoaded(ledger, artifact) || hasOrder(ledger, artifact, Order.Action.LOAD);
        return reserved || reservedBytes(ledger) + bytes <= memoryBytes;
    }

    /** Returns the ledger with an additional order. */
    public static LedgerDocument withOrder(LedgerDocument ledger, String stamp, Order order) {
        List<Order> orders = new ArrayList<>(ledger.orders());
        orders.add(order);
        return new LedgerDocument(stamp, ledger.endpoint(), ledger.loaded(), orders);
    }

    /** Returns the same ledger with a new stamp. Writing it proves that the ledger was current. */
    public static LedgerDocument withStamp(LedgerDocument ledger, String stamp) {
        return new LedgerDocument(stamp, ledger.endpoint(), ledger.loaded(), ledger.orders());
    }

    /**
     * Returns the ledger updated by a report, or the same ledger if nothing changed.
     *
     * @param report report that is newer than the ledger
     * @param mayArrive returns whether an order can still arrive after the time of the report
     * @param bytes returns the memory of an artifact in bytes, negative if it is unknown
     */
    public static LedgerDocument applyReport(
            LedgerDocument ledger,
            EndpointReport report,
            String stamp,
            Predicate<OrderId> mayArrive,
            ToLongFunction<Artifact> bytes) {
        List<Order> orders = new ArrayList<>();
        for (Order order : ledger.orders()) {
            if (mayArrive.test(order.id())
                    || report.pendingOrders().contains(order.id().toString())) {
                orders.add(order);
            }
        }
        List<LoadedArtifact> loaded = loaded(ledger, report, bytes);
        if (orders.equals(ledger.orders()) && new HashSet<>(loaded).equals(new HashSet<>(ledger.loaded()))) {
            return ledger;
        }
        return new LedgerDocument(stamp, ledger.endpoint(), loaded, orders);
    }

    private static List<LoadedArtifact> loaded(
            LedgerDocument ledger, EndpointReport report, ToLongFunction<Artifact> bytes) {
        Map<Artifact, Long> recorded = new HashMap<>();
        ledger.orders().forEach(o -> recorded.put(o.artifact(), o.bytes()));
        ledger.loaded().forEach(entry -> recorded.put(entry.artifact(), entry.bytes()));
        List<LoadedArtifact> loaded = new ArrayList<>();
        Set<Artifact> unknown = new HashSet<>();
        long sum = 0;
        for (Artifact a : report.loaded().stream().sorted().toList()) {
            long size = recorded.containsKey(a) ? recorded.get(a) : bytes.applyAsLong(a);
            if (size < 0) {
                unknown.add(a);
            } else {
                loaded.add(new LoadedArtifact(a, size));
                sum += size;
            }
        }
        // Artifacts of unknown size are each assumed to use all of the remaining memory in use.
        long rest = Math.max(0, report.memoryUsedBytes() - sum);
        for (Artifact a : unknown) {
            loaded.add(new LoadedArtifact(a, rest));
        }
        return loaded;
    }
}
