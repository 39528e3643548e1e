package org.gooseberryring.standins;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

import org.gooseberryring.protocol.Json;

/** Stand-in of a plain service that accepts every method and counts the calls that took effect. */
public final class ServiceStandIn implements AutoCloseable {
    private static final String JSON = "application/json";
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String OTHER_REQUEST_ID = "another-request";

    private final String id;
    private final Faults faults = new Faults();
    private final HeaderLog headers = new HeaderLog();
    private final Map<String, Integer> byIdempotencyKey = new TreeMap<>();
    private final Map<String, Integer> byRequestId = new TreeMap<>();
    private final Map<String, Integer> byMethod = new TreeMap<>();
    private final ControlRoutes control = new ControlRoutes(faults, this::record, this::crash);
    private final StandInServer server;
    private long calls;
    private int running;
    private int largestConcurrency;
    private int crashes;

    public ServiceStandIn(String id, int port) {
        this.id = id;
        this.server = new StandInServer(port, Call.handler(this::handle));
    }

    public ServiceStandIn start() {
        server.start();
        return this;
    }

    public String id() {
        return id;
    }

    public String address() {
        return server.address();
    }

    public Faults faults() {
        return faults;
    }

    /** Stops listening and closes every connection until a restart. */
    public void crash() {
        synchronized (this) {
            crashes++;
            running = 0;
        }
        server.crash();
        if (faults.isSet(InjectedFault.RESTART_AFTER_MILLIS)) {
            StandInServer.runAfter(faults.value(InjectedFault.RESTART_AFTER_MILLIS), server::start);
        }
    }

    public void restart() {
        server.start();
    }

    /** Returns the counters of the service since its creation. */
    public synchronized ServiceRecord record() {
        return new ServiceRecord(
                calls,
                new TreeMap<>(byIdempotencyKey),
                new TreeMap<>(byRequestId),
                new TreeMap<>(byMethod),
                largestConcurrency,
                crashes,
                headers.seen());
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(Call call) {
        if (control.handle(call)) {
            return;
        }
        headers.recordHeaders(call);
        if (faults.isSet(InjectedFault.HANG)) {
            return;
        }
        if (faults.isSet(InjectedFault.DOWN)) {
            call.respondWithStatus(503);
            return;
        }
        if (faults.containsCrashMarker(call.bodyText())) {
            crash();
            return;
        }
        int count = beginCall(call);
        call.runAfter(faults.value(InjectedFault.SLOW_MILLIS), () -> respond(call, count));
    }

    private synchronized int beginCall(Call call) {
        calls++;
        running++;
        largestConcurrency = Math.max(largestConcurrency, running);
        byMethod.merge(call.method(), 1, Integer::sum);
        if (call.header(REQUEST_ID) != null) {
            byRequestId.merge(call.header(REQUEST_ID), 1, Integer::sum);
        }
        String key = call.header(IDEMPOTENCY_KEY);
        return key == null ? 1 : byIdempotencyKey.merge(key, 1, Integer::sum);
    }

    private synchronized void endCall() {
        running = Math.max(0, running - 1);
    }

    private void respond(Call call, int count) {
        endCall();
        if (faults.consume(InjectedFault.LOSE_ANSWERS)) {
            call.closeConnection();
            return;
        }
        String requestId = call.header(REQUEST_ID);
        if (requestId != null) {
            call.setResponseHeader(
                    REQUEST_ID, faults.consume(InjectedFault.WRONG_REQUEST_ID) ? OTHER_REQUEST_ID : requestId);
        }
        byte[] body = Json.write(document(call, count));
        if (faults.consume(InjectedFault.STALL_ANSWERS)) {
            call.beginResponse(200, JSON, body.length);
            call.write(Arrays.copyOf(body, 1), () -> {});
        } else if (faults.consume(InjectedFault.CUT_ANSWERS)) {
            call.beginResponse(200, JSON, body.length);
            call.write(Arrays.copyOf(body, (int) faults.value(InjectedFault.CUT_AFTER_BYTES)), call::closeConnection);
        } else if ("HEAD".equals(call.method())) {
            call.beginResponse(200, JSON, body.length);
            call.endResponse();
        } else {
            call.respond(200, JSON, body);
        }
    }

    private Map<String, Object> document(Call call, int count) {
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("service", id);
        document.put("method", call.method());
        document.put("path", call.path());
        document.put("target", call.target());
        document.put("runs", count);
        document.put("received", call.bodyText());
        return document;
    }
}
