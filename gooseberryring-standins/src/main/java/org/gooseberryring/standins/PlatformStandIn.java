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

/** Stand-in of the platform: object store with watches, and host list. */
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
    private final CallRateMonitor reads = new CallRateMonitor();
    private final CallRateMonitor writes = new CallRateMonitor();
    private final ControlRoutes control = new ControlRoutes(faults, this::record, this::crash);
    private final StandInServer server;
    private long lostAnswers;
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

    /** Returns the current bytes of an object, or null if there is none. */
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

    /** Stops listening and closes every connection; objects are kept. */
    public void crash() {
        server.crash();
        if (faults.on(InjectedFault.RESTART_AFTER_MILLIS)) {
            StandInServer.after(faults.value(InjectedFault.RESTART_AFTER_MILLIS), server::start);
        }
    }

    public synchronized PlatformRecord record() {
        return new PlatformRecord(new TreeMap<>(calls), watches.size(), lostAnswers, largestObjectBytes);
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(Call call) {
        if (control.handle(call)) {
            return;
        }
        String kind = kind(call);
        calls.merge(kind, 1L, Long::sum);
        if (faults.on(InjectedFault.HANG)) {
            return;
        }
        if (faults.on(InjectedFault.DOWN)) {
            call.status(503);
            return;
        }
        if (!withinRate(kind)) {
            call.respondWith("Retry-After", "1").status(429);
            return;
        }
        call.after(faults.value(InjectedFault.SLOW_MILLIS), () -> serve(kind, call));
    }

    private static String kind(Call call) {
        String path = call.path();
        if (path.startsWith(HOSTS)) {
            return "GET".equals(call.method()) ? "hosts" : "put-host";
        }
        if ("GET".equals(call.method())) {
            if (path.equals(OBJECTS)) {
                return "list";
            }
            return call.query("after") == null ? "get" : "watch";
        }
        return call.method().toLowerCase(Locale.ROOT);
    }

    private boolean withinRate(String kind) {
        long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        return switch (kind) {
            case "put", "delete" -> writes.allow(now, faults.value(InjectedFault.WRITES_PER_SECOND));
            case "get", "list", "watch" -> reads.allow(now, faults.value(InjectedFault.READS_PER_SECOND));
            default -> true;
        };
    }

    private void serve(String kind, Call call) {
        switch (kind) {
            case "get" -> get(call);
            case "list" -> list(call);
            case "watch" -> watch(call);
            case "put" -> put(call);
            case "delete" -> delete(call);
            case "hosts" -> call.json(200, List.copyOf(hosts.values()));
            case "put-host" -> changeHost(call);
            default -> call.status(405);
        }
    }

    private void get(Call call) {
        boolean stale = faults.take(InjectedFault.STALE_READS);
        answerObject(call, stale ? store.getStale(key(call)) : store.get(key(call)));
    }

    private void list(Call call) {
        String prefix = call.query("prefix");
        call.json(200, store.keys(prefix == null ? "" : prefix));
    }

    private void watch(Call call) {
        long after = number(call.query("after"));
        long waitMillis = number(call.query("waitMillis"));
        Watch watch = new Watch(key(call), after, call);
        synchronized (this) {
            if (!watch.changed(store.get(watch.key()))) {
                watches.add(watch);
                call.onClose(() -> forget(watch));
                call.after(waitMillis, () -> expire(watch));
                return;
            }
        }
        answerObject(call, store.get(watch.key()));
    }

    private synchronized boolean forget(Watch watch) {
        return watches.remove(watch);
    }

    private void expire(Watch watch) {
        if (forget(watch)) {
            watch.call().status(304);
        }
    }

    private void put(Call call) {
        if (call.body().length > MAX_VALUE_BYTES) {
            call.status(413);
            return;
        }
        boolean create = "*".equals(call.header("If-None-Match"));
        if (!create && call.header("If-Match") == null) {
            call.status(428);
            return;
        }
        long expected = create ? 0 : version(call);
        InMemoryObjectStore.Result result = store.put(key(call), expected, call.body());
        noteSize(result, call.body().length);
        answerWrite(call, result, create ? 201 : 200);
    }

    private synchronized void noteSize(InMemoryObjectStore.Result result, long bytes) {
        if (result.applied()) {
            largestObjectBytes = Math.max(largestObjectBytes, bytes);
        }
    }

    private void delete(Call call) {
        if (call.header("If-Match") == null) {
            call.status(428);
            return;
        }
        answerWrite(call, store.remove(key(call), version(call)), 204);
    }

    private void answerWrite(Call call, InMemoryObjectStore.Result result, int status) {
        if (result.version() != 0) {
            call.respondWith("ETag", quote(result.version()));
        }
        if (!result.applied()) {
            call.status(412);
            return;
        }
        wakeWatches(key(call));
        if (faults.take(InjectedFault.LOSE_ANSWERS)) {
            countLostAnswer();
            call.drop();
            return;
        }
        call.status(status);
    }

    private synchronized void countLostAnswer() {
        lostAnswers++;
    }

    private void wakeWatches(String key) {
        InMemoryObjectStore.Entry entry = store.get(key);
        List<Watch> woken;
        synchronized (this) {
            woken = watches.stream()
                    .filter(watch -> watch.key().equals(key) && watch.changed(entry))
                    .toList();
            watches.removeAll(woken);
        }
        woken.forEach(watch -> answerObject(watch.call(), entry));
    }

    private void changeHost(Call call) {
        String id = call.path().substring(HOSTS.length() + 1);
        if ("DELETE".equals(call.method())) {
            removeHost(id);
            call.status(204);
            return;
        }
        try {
            putHost(Json.read(call.body(), HostEntry.class));
            call.status(200);
        } catch (GooseberryringException e) {
            call.status(400);
        }
    }

    private static void answerObject(Call call, InMemoryObjectStore.Entry entry) {
        if (entry == null) {
            call.status(404);
            return;
        }
        call.respondWith("ETag", quote(entry.version())).answer(200, BYTES, entry.bytes());
    }

    private static String key(Call call) {
        return call.path().substring(Math.min(call.path().length(), OBJECTS.length() + 1));
    }

    private static long version(Call call) {
        return number(call.header("If-Match").replace("\"", ""));
    }

    private static long number(String text) {
        try {
            return text == null ? 0 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static String quote(long version) {
        return "\"" + version + "\"";
    }

    /** Long poll that waits until the object has another version. */
    private record Watch(String key, long after, Call call) {
        boolean changed(InMemoryObjectStore.Entry entry) {
            return (entry == null ? 0 : entry.version()) != after;
        }
    }
}
