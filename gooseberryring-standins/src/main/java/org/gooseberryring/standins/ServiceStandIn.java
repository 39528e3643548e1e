package org.gooseberryring.standins;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

import org.gooseberryring.protocol.Json;

/** Stand-in of a plain service that takes every method and counts the effect of each call. */
public final class ServiceStandIn implements AutoCloseable {
    private static final String JSON = "application/json";
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String OTHER_ID = "another-request";

    private final String id;
    private final Faults faults = new Faults();
    private final HeaderLog headers = new HeaderLog();
    private final Map<String, Integer> byKey = new TreeMap<>();
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

    /** Closes every connection and stops listening until a restart. */
    public void crash() {
        synchronized (this) {
            crashes++;
            running = 0;
        }
        server.crash();
        if (faults.on(InjectedFault.RESTART_AFTER_MILLIS)) {
            StandInServer.after(faults.value(InjectedFault.RESTART_AFTER_MILLIS), server::start);
        }
    }

    public void restart() {
        server.start();
    }

    /** Returns what the service has counted since its creation. */
    public synchronized ServiceRecord record() {
        return new ServiceRecord(
                calls,
                new TreeMap<>(byKey),
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
        headers.note(call);
        if (faults.on(InjectedFault.HANG)) {
            return;
        }
        if (faults.on(InjectedFault.DOWN)) {
            call.status(503);
            return;
        }
        if (faults.crashes(call.bodyText())) {
            crash();
            return;
        }
        int count = begin(call);
        call.after(faults.value(InjectedFault.SLOW_MILLIS), () -> answer(call, count));
    }

    private synchronized int begin(Call call) {
        calls++;
        running++;
        largestConcurrency = Math.max(largestConcurrency, running);
        byMethod.merge(call.method(), 1, Integer::sum);
        if (call.header(REQUEST_ID) != null) {
            byRequestId.merge(call.header(REQUEST_ID), 1, Integer::sum);
        }
        String key = call.header(IDEMPOTENCY_KEY);
        return key == null ? 1 : byKey.merge(key, 1, Integer::sum);
    }

    private synchronized void end() {
        running = Math.max(0, running - 1);
    }

    private void answer(Call call, int count) {
        end();
        if (faults.take(InjectedFault.LOSE_ANSWERS)) {
            call.drop();
            return;
        }
        String requestId = call.header(REQUEST_ID);
        if (requestId != null) {
            call.respondWith(REQUEST_ID, faults.take(InjectedFault.WRONG_REQUEST_ID) ? OTHER_ID : requestId);
        }
        byte[] body = Json.write(document(call, count));
        if (faults.take(InjectedFault.STALL_ANSWERS)) {
            call.begin(200, JSON, body.length);
            call.write(Arrays.copyOf(body, 1), () -> {});
        } else if (faults.take(InjectedFault.CUT_ANSWERS)) {
            call.begin(200, JSON, body.length);
            call.write(Arrays.copyOf(body, (int) faults.value(InjectedFault.CUT_AFTER_BYTES)), call::drop);
        } else if ("HEAD".equals(call.method())) {
            call.begin(200, JSON, body.length);
            call.end();
        } else {
            call.answer(200, JSON, body);
        }
    }

    private Map<String, Object> document(Call call, int count) {
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("service", id);
        document.put("method", call.method());
        document.put("path", call.path());
        document.put("runs", count);
        document.put("received", call.bodyText());
        return document;
    }
}
