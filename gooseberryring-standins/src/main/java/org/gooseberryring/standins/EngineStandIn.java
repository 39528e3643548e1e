package org.gooseberryring.standins;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.protocol.LoadReport;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.GooseberryringException;

/** Stand-in of a model engine. */
public final class EngineStandIn implements AutoCloseable {
    private static final String REQUESTS = "/v1/requests/";
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String CACHE_SALT = "X-Cache-Salt";
    private static final int PREFIX_CHARS = 256;

    private final EngineSettings settings;
    private final Faults faults = new Faults();
    private final EngineMemory memory;
    private final EngineRuns runs;
    private final EngineOrders orders;
    private final CacheEvents cacheEvents = new CacheEvents(faults);
    private final HeaderLog headers = new HeaderLog();
    private final ControlRoutes control = new ControlRoutes(faults, this::record, this::crash);
    private final StandInServer server;
    private long incarnation;
    private int crashes;
    private int completedWhileCold;
    private long unloadedWhileRunning;
    private long notLoaded;
    private String role = "serve";
    private LoadReport report;
    private long reportMadeAt;

    /**
     * Creates an engine that does not listen yet.
     *
     * @param incarnation first incarnation; each restart adds one
     */
    public EngineStandIn(EngineSettings settings, WeightStoreStandIn weights, long incarnation) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.memory = new EngineMemory(settings.memoryBytes());
        this.runs = new EngineRuns(settings.maxConcurrency(), this::run);
        this.orders = new EngineOrders(
                faults, memory, weights, settings.fencingEnforced(), this::interruptRunsOn, this::setRole);
        this.server = new StandInServer(settings.port(), Call.handler(this::handle));
    }

    /** Returns the text that an engine stand-in answers to a prompt; a chat prompt has a line break after each part. */
    public static String expectedText(String prompt, int tokens) {
        return EngineRun.expectedText(prompt, tokens);
    }

    public EngineStandIn start() {
        server.start();
        return this;
    }

    public String address() {
        return server.address();
    }

    public String id() {
        return settings.id();
    }

    public Faults faults() {
        return faults;
    }

    /** Puts an artifact in memory without an order. */
    public EngineStandIn preload(Artifact artifact, long bytes) {
        memory.preload(artifact, bytes);
        return this;
    }

    /** Closes every connection, stops listening and loses all requests and memory, until a restart. */
    public void crash() {
        synchronized (this) {
            if (!server.listening()) {
                return;
            }
            crashes++;
        }
        server.crash();
        runs.clear();
        if (faults.on(InjectedFault.RESTART_AFTER_MILLIS)) {
            StandInServer.after(faults.value(InjectedFault.RESTART_AFTER_MILLIS), this::restart);
        }
    }

    /** Starts again at the same address with empty memory and a new incarnation. */
    public void restart() {
        server.crash();
        runs.clear();
        memory.clear();
        orders.restart();
        synchronized (this) {
            incarnation++;
            completedWhileCold = 0;
            report = null;
        }
        server.start();
    }

    /** Changes the incarnation without losing memory or requests, as an engine that turned cold unnoticed. */
    public synchronized void bumpIncarnation() {
        incarnation++;
        report = null;
    }

    /** Returns what the engine has counted since its creation, over all incarnations. */
    public synchronized EngineRecord record() {
        return new EngineRecord(
                incarnation,
                crashes,
                faults.on(InjectedFault.COLD),
                runs.started(),
                runs.completed(),
                runs.cancelled(),
                runs.interrupted(),
                unloadedWhileRunning,
                notLoaded,
                runs.largestConcurrency(),
                memory.used(),
                memory.peak(),
                memory.overcommitted(),
                memory.loaded(),
                orders.applied(),
                orders.fenced(),
                headers.seen());
    }

    @Override
    public void close() {
        server.close();
        runs.clear();
    }

    private void handle(Call call) {
        if (control.handle(call)) {
            return;
        }
        if (faults.on(InjectedFault.HANG)) {
            return;
        }
        if (faults.on(InjectedFault.DOWN)) {
            call.status(503);
            return;
        }
        String path = call.path();
        switch (call.method()) {
            case "GET" -> get(call, path);
            case "POST" -> post(call, path);
            case "DELETE" -> cancel(call, path);
            default -> call.status(405);
        }
    }

    private void get(Call call, String path) {
        if (path.equals("/v1/load")) {
            call.json(200, loadReport());
        } else if (path.startsWith(EngineOrders.PATH + "/")) {
            orders.get(call);
        } else if (path.equals("/v1/cache-events")) {
            String after = call.query("after");
            call.json(200, cacheEvents.after(after == null ? 0 : Long.parseLong(after)));
        } else {
            call.status(404);
        }
    }

    private void post(Call call, String path) {
        switch (path) {
            case EngineOrders.PATH -> orders.post(call);
            case "/v1/chat/completions", "/v1/completions" -> complete(call);
            default -> call.status(404);
        }
    }

    private void cancel(Call call, String path) {
        boolean known = path.startsWith(REQUESTS) && runs.cancel(path.substring(REQUESTS.length()));
        call.status(known ? 204 : 404);
    }

    private void complete(Call call) {
        headers.note(call);
        if (faults.crashes(call.bodyText())) {
            crash();
            return;
        }
        JsonNode body;
        try {
            body = Json.readTree(call.body());
        } catch (GooseberryringException e) {
            call.json(400, Map.of("error", "malformed body"));
            return;
        }
        Artifact artifact = artifact(body.path("model").asText(""));
        String requestId = call.header(REQUEST_ID);
        if (requestId == null || artifact == null) {
            refuse(call, requestId);
            return;
        }
        EngineRun run = new EngineRun(call, requestId, body, artifact);
        call.onClose(() -> runs.end(run, false));
        if (!runs.add(run)) {
            call.status(503);
        }
    }

    private synchronized void refuse(Call call, String requestId) {
        if (requestId == null) {
            call.json(400, Map.of("error", REQUEST_ID + " is missing"));
            return;
        }
        notLoaded++;
        call.respondWith(REQUEST_ID, requestId).json(404, Map.of("error", "model is not loaded"));
    }

    private Artifact artifact(String name) {
        int at = name.indexOf('@');
        String version = at < 0 ? null : name.substring(at + 1);
        String rest = at < 0 ? name : name.substring(0, at);
        int colon = rest.indexOf(':');
        String adapter = colon < 0 ? null : rest.substring(colon + 1);
        return memory.find(colon < 0 ? rest : rest.substring(0, colon), adapter, version);
    }

    private void run(EngineRun run) {
        if (faults.on(InjectedFault.COLD) && runs.running() > Math.max(1, faults.value(InjectedFault.COLD_CAPACITY))) {
            crash();
            return;
        }
        new CompletionWriter(run, settings, faults, this::ended).start();
    }

    private void ended(EngineRun run, boolean complete) {
        runs.end(run, complete);
        if (!complete) {
            return;
        }
        String prefix =
                run.prompt().substring(0, Math.min(PREFIX_CHARS, run.prompt().length()));
        cacheEvents.stored(run.artifact().toString(), run.call().header(CACHE_SALT), EngineRun.expectedText(prefix, 1));
        warmUp();
    }

    private synchronized void warmUp() {
        long needed = faults.value(InjectedFault.COLD_REQUESTS);
        if (needed > 0 && faults.on(InjectedFault.COLD) && ++completedWhileCold >= needed) {
            faults.set(InjectedFault.COLD, 0);
            completedWhileCold = 0;
        }
    }

    private void interruptRunsOn(Artifact artifact) {
        runs.on(artifact).forEach(run -> {
            countUnloadedWhileRunning();
            runs.end(run, false);
            run.call().drop();
        });
    }

    private synchronized void countUnloadedWhileRunning() {
        unloadedWhileRunning++;
    }

    private synchronized void setRole(String name) {
        role = name;
        report = null;
    }

    private synchronized LoadReport loadReport() {
        long now = System.nanoTime() / 1_000_000;
        if (report == null || now - reportMadeAt >= settings.reportMillis()) {
            report = makeReport();
            reportMadeAt = now;
        }
        return new LoadReport(
                report.endpoint(),
                report.incarnation(),
                report.running(),
                report.waiting(),
                report.capacity(),
                report.loaded(),
                report.memoryUsedBytes(),
                report.memoryTotalBytes(),
                report.role(),
                now - reportMadeAt,
                report.highestTerm(),
                report.unresolvedOrders());
    }

    private LoadReport makeReport() {
        return new LoadReport(
                settings.id(),
                incarnation,
                runs.running(),
                runs.waiting(),
                runs.capacity(),
                memory.loaded(),
                memory.used(),
                settings.memoryBytes(),
                role,
                0,
                orders.highestTerm(),
                orders.unresolved());
    }
}
