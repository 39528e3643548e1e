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

/** Caches the platform's list of hosts; the list may be outdated and is only a hint. */
public final class HostDirectory {
    /** State of an active host. */
    public static final String LIVE = "live";

    private static final Logger LOG = Logger.getLogger(HostDirectory.class);

    private static final int OK = 200;
    // Limits the memory used; the target fleet has 1,400 hosts.
    private static final int MAX_ANNOUNCED_HOSTS = 10_000;
    private static final long CALL_TIMEOUT_MILLIS = 2000;
    private static final long MIN_INTERVAL_MILLIS = 1000;
    // With 1,400 hosts this limits the reads to 50 per second; the store can serve 2,000 per second.
    private static final long INTERVAL_MILLIS_PER_HOST = 20;

    private final URI hostsUri;
    private final String selfId;
    private final HttpCaller caller;
    private final Consumer<Map<String, HostEntry>> listener;
    private final Map<String, HostEntry> announcedHosts = new TreeMap<>();
    private final List<HostEntry> seeds;
    private Map<String, HostEntry> listedHosts;
    private volatile Map<String, HostEntry> others = Map.of();
    private volatile boolean listRead;
    private long nextReadAt;
    private boolean inFlight;

    /**
     * Creates an empty directory.
     *
     * @param platform address of the platform
     * @param selfId identifier of this host, which the directory does not include
     * @param seeds other hosts to use until the list has been read
     * @param listener receives the other hosts after each change, on an I/O thread
     */
    public HostDirectory(
            URI platform,
            String selfId,
            List<HostEntry> seeds,
            HttpCaller caller,
            Consumer<Map<String, HostEntry>> listener) {
        this.seeds = seeds;
        this.hostsUri = platform.resolve("/v1/hosts");
        this.selfId = selfId;
        this.caller = caller;
        this.listener = listener;
    }

    /** Returns the other hosts by identifier. */
    public Map<String, HostEntry> others() {
        return others;
    }

    /** Returns the live hosts of a failure domain, excluding this host. */
    public List<HostEntry> live(String failureDomain) {
        List<HostEntry> live = new ArrayList<>();
        for (HostEntry entry : others.values()) {
            if (LIVE.equals(entry.state()) && entry.failureDomain().equals(failureDomain)) {
                live.add(entry);
            }
        }
        return live;
    }

    /** Returns whether the list was read at least once or a call to read it failed. */
    public boolean isRead() {
        return listRead;
    }

    /** Adds the entry of a host that announced its own address; the platform's list overrides it. */
    public void onAnnouncement(HostEntry entry) {
        synchronized (this) {
            if (entry.id().equals(selfId) || announcedHosts.size() >= MAX_ANNOUNCED_HOSTS) {
                return;
            }
            announcedHosts.put(entry.id(), entry);
            if (!listRead) {
                // The listener would treat an incomplete set of hosts as complete.
                return;
            }
        }
        merge();
    }

    /** Reads the list if the next read is due; must be called from one thread. */
    public synchronized void tick(long now) {
        if (inFlight || now < nextReadAt) {
            return;
        }
        inFlight = true;
        nextReadAt = now + Math.max(MIN_INTERVAL_MILLIS, INTERVAL_MILLIS_PER_HOST * others.size());
        caller.callAsync("GET", hostsUri, Map.of(), null, CALL_TIMEOUT_MILLIS).whenComplete(this::onResponse);
    }

    /** Parses an address of the form {@code ip:port}; returns {@code null} if it is malformed. */
    public static InetSocketAddress address(String text) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
            return null;
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Returns an address in the form {@code ip:port}. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void merge() {
        Map<String, HostEntry> merged = new TreeMap<>();
        synchronized (this) {
            merged.putAll(announcedHosts);
            if (listedHosts != null) {
                merged.putAll(listedHosts);
            } else {
                seeds.forEach(seed -> merged.putIfAbsent(seed.id(), seed));
            }
            if (merged.equals(others) && listRead) {
                return;
            }
            others = merged;
        }
        listener.accept(merged);
    }

    private void onResponse(HttpResult result, Throwable failure) {
        synchronized (this) {
            inFlight = false;
        }
        if (failure != null || result.status() != OK) {
            merge();
            listRead = true;
            return;
        }
        try {
            Map<String, HostEntry> next = new TreeMap<>();
            Arrays.stream(Json.read(result.body(), HostEntry[].class))
                    .filter(entry -> !entry.id().equals(selfId))
                    .forEach(entry -> next.put(entry.id(), entry));
            synchronized (this) {
                listedHosts = next;
                // A listed host needs no announcement, and a host removed from the list is gone.
                announcedHosts.keySet().removeAll(next.keySet());
            }
            merge();
            listRead = true;
        } catch (GooseberryringException e) {
            LogLine.event("host-list-unreadable").warn(LOG);
        }
    }
}
