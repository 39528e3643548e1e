package org.gooseberryring.standins;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.protocol.LoadReport;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.GooseberryringException;

/** Stand-in of a model engine that serves completions, orders, load reports and cache events. */
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
    private LoadReport cachedReport;
    private long cachedReportCreatedMillis;

    /**
     * Creates an engine that does not listen until it is started.
     *
     * @param incarnation first incarnation; each restart increments it
     */
    public EngineStandIn(EngineSettings settings, WeightStoreStandIn weights, long incarnation) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.memory = new EngineMemory(settings.memoryBytes());
        this.runs = new EngineRuns(settings.maxConcurrency(), this::startRun);
        this.orders = new EngineOrders(
                faults, memory, weights, settings.fencingEnforced(), this::interruptRunsOn, this::setRole);
        this.server = new StandInServer(settings.port(), Call.handler(this::handle));
    }

    /**
     * Returns the text that an engine stand-in generates for a prompt. The prompt of a chat request consists of the
     * contents of its messages, each followed by a line break.
     */
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

    /** Loads an artifact immediately and without an order. */
    public EngineStandIn preload(Artifact artifact, long bytes) {
        memory.preload(artifact, bytes);
        return this;
    }

    /** Stops listening, closes every connection and ends all requests; the memory is cleared by {@link #restart}. */
    public void crash() {
        synchronized (this) {
            if (!server.isListening()) {
                return;
            }
            crashes++;
        }
        server.crash();
        runs.clear();
        if (faults.isSet(InjectedFault.RESTART_AFTER_MILLIS)) {
            StandInServer.runAfter(faults.value(InjectedFault.RESTART_AFTER_MILLIS), this::restart);
        }
    }

    /** Restarts the engine at the same address with empty memory and a new incarnation. */
    public void restart() {
        server.crash();
        runs.clear();
        memory.clear();
        orders.restart();
        synchronized (this) {
            incarnation++;
            completedWhileCold = 0;
            cachedReport = null;
        }
        server.start();
    }

    /** Increments the incarnation but keeps memory and requests, like an engine that becomes cold without a visible restart. */
    public synchronized void bumpIncarnation() {
        incarnation++;
        cachedReport = null;
    }

    /** Returns the current state of the engine and its counters since its creation, over all incarnations. */
    public synchronized EngineRecord record() {
        return new EngineRecord(
                incarnation,
                crashes,
                faults.isSet(InjectedFault.COLD),
                runs.started(),
                runs.completed(),
                runs.cancelled(),
                runs.interrupted(),
                unloadedWhileRunning,
                notLoaded,
                runs.largestConcurrency(),
                memory.usedBytes(),
                memory.peakBytes(),
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
        if (faults.isSet(InjectedFault.HANG)) {
            return;
        }
        if (faults.isSet(InjectedFault.DOWN)) {
            call.respondWithStatus(503);
            return;
        }
        String path = call.path();
        switch (call.method()) {
            case "GET" -> get(call, path);
            case "POST" -> post(call, path);
            case "DELETE" -> cancel(call, path);
            default -> call.respondWithStatus(405);
        }
    }

    private void get(Call call, String path) {
        if (path.equals("/v1/load")) {
            call.respondWithJson(200, loadReport());
        } else if (path.startsWith(EngineOrders.PATH + "/")) {
            orders.get(call);
        } else if (path.equals("/v1/cache-events")) {
            String after = call.queryParameter("after");
            call.respondWithJson(200, cacheEvents.eventsAfter(after == null ? 0 : Long.parseLong(after)));
        } else {
            call.respondWithStatus(404);
        }
    }

    private void post(Call call, String path) {
        switch (path) {
            case EngineOrders.PATH -> orders.post(call);
            case "/v1/chat/completions", "/v1/completions" -> complete(call);
            default -> call.respondWithStatus(404);
        }
    }

    private void cancel(Call call, String path) {
        boolean found = path.startsWith(REQUESTS) && runs.cancel(path.substring(REQUESTS.length()));
        call.respondWithStatus(found ? 204 : 404);
    }

    private void complete(Call call) {
        headers.recordHeaders(call);
        if (faults.containsCrashMarker(call.bodyText())) {
            crash();
            return;
        }
        JsonNode body;
        try {
            body = Json.readTree(call.body());
        } catch (GooseberryringException e) {
            call.respondWithJson(400, Map.of("error", "malformed body"));
            return;
        }
        Artifact artifact = artifact(body.path("model").asText(""));
        String requestId = call.header(REQUEST_ID);
        if (requestId == null || artifact == null) {
            reject(call, requestId);
            return;
        }
        EngineRun run = new EngineRun(call, requestId, body, artifact);
        call.onClose(() -> runs.end(run, false));
        if (!runs.add(run)) {
            call.respondWithStatus(503);
        }
    }

    private synchronized void reject(Call call, String requestId) {
        if (requestId == null) {
            call.respondWithJson(400, Map.of("error", REQUEST_ID + " is missing"));
            return;
        }
        notLoaded++;
        call.setResponseHeader(REQUEST_ID, requestId).respondWithJson(404, Map.of("error", "model is not loaded"));
    }

    private Artifact artifact(String name) {
        int at = name.indexOf('@');
        String version = at < 0 ? null : name.substring(at + 1);
        String rest = at < 0 ? name : name.substring(0, at);
        int colon = rest.indexOf(':');
        String adapter = colon < 0 ? null : rest.substring(colon + 1);
        return memory.find(colon < 0 ? rest : rest.substring(0, colon), adapter, version);
    }

    private void startRun(EngineRun run) {
        if (faults.isSet(InjectedFault.COLD)
                && runs.running() > Math.max(1, faults.value(InjectedFault.COLD_CAPACITY))) {
            crash();
            return;
        }
        new CompletionWriter(run, settings, faults, this::onRunEnded).start();
    }

    private void onRunEnded(EngineRun run, boolean complete) {
        runs.end(run, complete);
        if (!complete) {
            return;
        }
        String prefix =
                run.prompt().substring(0, Math.min(PREFIX_CHARS, run.prompt().length()));
        cacheEvents.addStored(
                run.artifact().toString(), run.call().header(CACHE_SALT), EngineRun.expectedText(prefix, 1));
        countCompletionWhileCold();
    }

    private synchronized void countCompletionWhileCold() {
        long requiredRequests = faults.value(InjectedFault.COLD_REQUESTS);
        if (requiredRequests > 0 && faults.isSet(InjectedFault.COLD) && ++completedWhileCold >= requiredRequests) {
            faults.set(InjectedFault.COLD, 0);
            completedWhileCold = 0;
        }
    }

    private void interruptRunsOn(Artifact artifact) {
        runs.runningOn(artifact).forEach(run -> {
            countUnloadedWhileRunning();
            runs.end(run, false);
            run.call().closeConnection();
        });
    }

    private synchronized void countUnloadedWhileRunning() {
        unloadedWhileRunning++;
    }

    private synchronized void setRole(String name) {
        role = name;
        cachedReport = null;
    }

    private synchronized LoadReport loadReport() {
        long nowMillis = System.nanoTime() / 1_000_000;
        if (cachedReport == null || nowMillis - cachedReportCreatedMillis >= settings.reportMillis()) {
            cachedReport = createReport();
            cachedReportCreatedMillis = nowMillis;
        }
        return new LoadReport(
                cachedReport.endpoint(),
                cachedReport.incarnation(),
                cachedReport.running(),
                cachedReport.waiting(),
                cachedReport.capacity(),
                cachedReport.loaded(),
                cachedReport.memoryUsedBytes(),
                cachedReport.memoryTotalBytes(),
                cachedReport.role(),
                nowMillis - cachedReportCreatedMillis,
                cachedReport.highestTerm(),
                cachedReport.unresolvedOrders());
    }

    private LoadReport createReport() {
        return new LoadReport(
                settings.id(),
                incarnation,
                runs.running(),
                runs.waiting(),
                runs.capacity(),
                memory.loaded(),
                memory.usedBytes(),
                settings.memoryBytes(),
                role,
                0,
                orders.highestTerm(),
                orders.unresolved());
    }
}
