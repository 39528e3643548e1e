package org.gooseberryring.host.fleet;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.protocol.HostEntry;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.GooseberryringException;
import org.gooseberryring.transport.http.HttpCaller;
import org.gooseberryring.transport.http.HttpResult;
import org.jboss.logging.Logger;

/** Platform's list of hosts as it was last seen; it lags and is only a hint. */
public final class HostDirectory {
    /** State of a host that takes part. */
    public static final String LIVE = "live";

    private static final Logger LOG = Logger.getLogger(HostDirectory.class);

    private static final int OK = 200;
    // Bounds memory; the target fleet has 1,400 hosts.
    private static final int MAX_ANNOUNCED = 10_000;
    private static final long CALL_MILLIS = 2000;
    private static final long MIN_INTERVAL_MILLIS = 1000;
    // At 1,400 hosts this spreads the reads to 50 a second, of the store's 2,000.
    private static final long INTERVAL_MILLIS_PER_HOST = 20;

    private final URI hosts;
    private final String selfId;
    private final HttpCaller caller;
    private final Consumer<Map<String, HostEntry>> listener;
    private final Map<String, HostEntry> announced = new TreeMap<>();
    private final List<HostEntry> seeds;
    private Map<String, HostEntry> listed;
    private volatile Map<String, HostEntry> others = Map.of();
    private volatile boolean read;
    private long nextAt;
    private boolean inFlight;

    /**
     * Creates an empty directory.
     *
     * @param platform address of the platform
     * @param selfId identifier of this host, which is left out
     * @param seeds other hosts to assume until the list was read
     * @param listener takes the other hosts after each change, on an I/O thread
     */
    public HostDirectory(
            URI platform,
            String selfId,
            List<HostEntry> seeds,
            HttpCaller caller,
            Consumer<Map<String, HostEntry>> listener) {
        this.seeds = seeds;
        this.hosts = platform.resolve("/v1/hosts");
        this.selfId = selfId;
        this.caller = caller;
        this.listener = listener;
    }

    /** Returns the other hosts by identifier. */
    public Map<String, HostEntry> others() {
        return others;
    }

    /** Returns the live hosts of a failure domain, without this one. */
    public List<HostEntry> live(String failureDomain) {
        List<HostEntry> live = new ArrayList<>();
        for (HostEntry entry : others.values()) {
            if (LIVE.equals(entry.state()) && entry.failureDomain().equals(failureDomain)) {
                live.add(entry);
            }
        }
        return live;
    }

    /** Returns whether the list was read at least once, or could not be. */
    public boolean read() {
        return read;
    }

    /** Takes the entry of a host that told its address itself; the platform's list overrides it. */
    public void announced(HostEntry entry) {
        synchronized (this) {
            if (entry.id().equals(selfId) || announced.size() >= MAX_ANNOUNCED) {
                return;
            }
            announced.put(entry.id(), entry);
            if (!read) {
                // A part of the hosts would be taken for all of them.
                return;
            }
        }
        merge();
    }

    /** Reads the list if it is time to; must be called from one thread. */
    public synchronized void tick(long now) {
        if (inFlight || now < nextAt) {
            return;
        }
        inFlight = true;
        nextAt = now + Math.max(MIN_INTERVAL_MILLIS, INTERVAL_MILLIS_PER_HOST * others.size());
        caller.callAsync("GET", hosts, Map.of(), null, CALL_MILLIS).whenComplete(this::answered);
    }

    /** Parses an address of the form {@code ip:port}; null if it is malformed. */
    public static InetSocketAddress address(String text) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
            return null;
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private void merge() {
        Map<String, HostEntry> merged = new TreeMap<>();
        synchronized (this) {
            merged.putAll(announced);
            if (listed != null) {
                merged.putAll(listed);
            } else {
                seeds.forEach(seed -> merged.putIfAbsent(seed.id(), seed));
            }
            if (merged.equals(others) && read) {
                return;
            }
            others = merged;
        }
        listener.accept(merged);
    }

    private void answered(HttpResult result, Throwable failure) {
        synchronized (this) {
            inFlight = false;
        }
        if (failure != null || result.status() != OK) {
            merge();
            read = true;
            return;
        }
        try {
            Map<String, HostEntry> next = new TreeMap<>();
            Arrays.stream(Json.read(result.body(), HostEntry[].class))
                    .filter(entry -> !entry.id().equals(selfId))
                    .forEach(entry -> next.put(entry.id(), entry));
            synchronized (this) {
                listed = next;
                // A listed host needs no announcement, and one that leaves the list has left.
                announced.keySet().removeAll(next.keySet());
            }
            merge();
            read = true;
        } catch (GooseberryringException e) {
            LogLine.event("host-list-unreadable").warn(LOG);
        }
    }
}
