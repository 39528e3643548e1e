package org.gooseberryring.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;

import org.gooseberryring.protocol.HostEntry;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.GooseberryringException;

/** Stand-in of the platform, with an object store that supports watches and a host list. */
public final class PlatformStandIn implements AutoCloseable {
    private static final String OBJECTS = "/v1/objects";
    private static final String HOSTS = "/v1/hosts";
    private static final String BYTES = "application/octet-stream";
    private static final int MAX_VALUE_BYTES = 1_000_000;

    private final Faults faults = new Faults();
    private final InMemoryObjectStore store = new InMemoryObjectStore();
    private final Map<String, HostEntry> hosts = new ConcurrentSkipListMap<>();
    private final Map<String, Long> calls = new ConcurrentSkipListMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final CallRateMonitor readRate = new CallRateMonitor();
    private final CallRateMonitor writeRate = new CallRateMonitor();
    private final ControlRoutes control = new ControlRoutes(faults, this::record, this::crash);
    private final StandInServer server;
    private long lostResponses;
    private long largestObjectBytes;

    public PlatformStandIn(int port) {
        this.server = new StandInServer(port, Call.handler(this::handle));
    }

    public PlatformStandIn start() {
        server.start();
        return this;
    }

    public String address() {
        return server.address();
    }

    public Faults faults() {
        return faults;
    }

    /** Returns the current bytes of an object, or null if it does not exist. */
    public byte[] object(String key) {
        InMemoryObjectStore.Entry entry = store.get(key);
        return entry == null ? null : entry.bytes();
    }

    public void putHost(HostEntry entry) {
        hosts.put(entry.id(), entry);
    }

    public void removeHost(String id) {
        hosts.remove(id);
    }

    /** Stops listening and closes every connection; the objects are kept. */
    public void crash() {
        server.crash();
        if (faults.isSet(InjectedFault.RESTART_AFTER_MILLIS)) {
            StandInServer.runAfter(faults.value(InjectedFault.RESTART_AFTER_MILLIS), server::start);
        }
    }

    public synchronized PlatformRecord record() {
        return new PlatformRecord(new TreeMap<>(calls), watches.size(), lostResponses, largestObjectBytes);
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(Call call) {
        if (control.handle(call)) {
            return;
        }
        String kind = callKind(call);
        calls.merge(kind, 1L, Long::sum);
        if (faults.isSet(InjectedFault.HANG)) {
            return;
        }
        if (faults.isSet(InjectedFault.DOWN)) {
            call.respondWithStatus(503);
            return;
        }
        if (!withinRate(kind)) {
            call.setResponseHeader("Retry-After", "1").respondWithStatus(429);
            return;
        }
        call.runAfter(faults.value(InjectedFault.SLOW_MILLIS), () -> dispatch(kind, call));
    }

    private static String callKind(Call call) {
        String path = call.path();
        if (path.startsWith(HOSTS)) {
            return "GET".equals(call.method()) ? "hosts" : "put-host";
        }
        if ("GET".equals(call.method())) {
            if (path.equals(OBJECTS)) {
                return "list";
            }
            return call.queryParameter("after") == null ? "get" : "watch";
        }
        return call.method().toLowerCase(Locale.ROOT);
    }

    private boolean withinRate(String kind) {
        long nowMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        return switch (kind) {
            case "put", "delete" -> writeRate.allow(nowMillis, faults.value(InjectedFault.WRITES_PER_SECOND));
            case "get", "list", "watch" -> readRate.allow(nowMillis, faults.value(InjectedFault.READS_PER_SECOND));
            default -> true;
        };
    }

    private void dispatch(String kind, Call call) {
        switch (kind) {
            case "get" -> get(call);
            case "list" -> list(call);
            case "watch" -> watch(call);
            case "put" -> put(call);
            case "delete" -> delete(call);
            case "hosts" -> call.respondWithJson(200, List.copyOf(hosts.values()));
            case "put-host" -> changeHost(call);
            default -> call.respondWithStatus(405);
        }
    }

    private void get(Call call) {
        boolean stale = faults.consume(InjectedFault.STALE_READS);
        respondWithObject(call, stale ? store.getStale(key(call)) : store.get(key(call)));
    }

    private void list(Call call) {
        String prefix = call.queryParameter("prefix");
        call.respondWithJson(200, store.keys(prefix == null ? "" : prefix));
    }

    private void watch(Call call) {
        long after = parseNumber(call.queryParameter("after"));
        long waitMillis = parseNumber(call.queryParameter("waitMillis"));
        Watch watch = new Watch(key(call), after, call);
        synchronized (this) {
            if (!watch.hasChanged(store.get(watch.key()))) {
                watches.add(watch);
                call.onClose(() -> removeWatch(watch));
                call.runAfter(waitMillis, () -> onWatchTimeout(watch));
                return;
            }
        }
        respondWithObject(call, store.get(watch.key()));
    }

    private synchronized boolean removeWatch(Watch watch) {
        return watches.remove(watch);
    }

    private void onWatchTimeout(Watch watch) {
        if (removeWatch(watch)) {
            watch.call().respondWithStatus(304);
        }
    }

    private void put(Call call) {
        if (call.body().length > MAX_VALUE_BYTES) {
            call.respondWithStatus(413);
            return;
        }
        boolean create = "*".equals(call.header("If-None-Match"));
        if (!create && call.header("If-Match") == null) {
            call.respondWithStatus(428);
            return;
        }
        long expected = create ? 0 : version(call);
        InMemoryObjectStore.Result result = store.put(key(call), expected, call.body());
        updateLargestObject(result, call.body().length);
        respondToWrite(call, result, create ? 201 : 200);
    }

    private synchronized void updateLargestObject(InMemoryObjectStore.Result result, long bytes) {
        if (result.applied()) {
            largestObjectBytes = Math.max(largestObjectBytes, bytes);
        }
    }

    private void delete(Call call) {
        if (call.header("If-Match") == null) {
            call.respondWithStatus(428);
            return;
        }
        respondToWrite(call, store.remove(key(call), version(call)), 204);
    }

    private void respondToWrite(Call call, InMemoryObjectStore.Result result, int status) {
        if (result.version() != 0) {
            call.setResponseHeader("ETag", etag(result.version()));
        }
        if (!result.applied()) {
            call.respondWithStatus(412);
            return;
        }
        completeWatches(key(call));
        if (faults.consume(InjectedFault.LOSE_ANSWERS)) {
            countLostResponse();
            call.closeConnection();
            return;
        }
        call.respondWithStatus(status);
    }

    private synchronized void countLostResponse() {
        lostResponses++;
    }

    private void completeWatches(String key) {
        InMemoryObjectStore.Entry entry = store.get(key);
        List<Watch> completed;
        synchronized (this) {
            completed = watches.stream()
                    .filter(watch -> watch.key().equals(key) && watch.hasChanged(entry))
                    .toList();
            watches.removeAll(completed);
        }
        completed.forEach(watch -> respondWithObject(watch.call(), entry));
    }

    private void changeHost(Call call) {
        String id = call.path().substring(HOSTS.length() + 1);
        if ("DELETE".equals(call.method())) {
            removeHost(id);
            call.respondWithStatus(204);
            return;
        }
        try {
            putHost(Json.read(call.body(), HostEntry.class));
            call.respondWithStatus(200);
        } catch (GooseberryringException e) {
            call.respondWithStatus(400);
        }
    }

    private static void respondWithObject(Call call, InMemoryObjectStore.Entry entry) {
        if (entry == null) {
            call.respondWithStatus(404);
            return;
        }
        call.setResponseHeader("ETag", etag(entry.version())).respond(200, BYTES, entry.bytes());
    }

    private static String key(Call call) {
        return call.path().substring(Math.min(call.path().length(), OBJECTS.length() + 1));
    }

    private static long version(Call call) {
        return parseNumber(call.header("If-Match").replace("\"", ""));
    }

    private static long parseNumber(String text) {
        try {
            return text == null ? 0 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static String etag(long version) {
        return "\"" + version + "\"";
    }

    /** Long poll that waits until the version of an object differs from a given one. */
    private record Watch(String key, long after, Call call) {
        boolean hasChanged(InMemoryObjectStore.Entry entry) {
            return (entry == null ? 0 : entry.version()) != after;
        }
    }
}
