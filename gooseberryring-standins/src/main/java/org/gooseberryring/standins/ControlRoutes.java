package org.gooseberryring.standins;

import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

import org.gooseberryring.state.GooseberryringException;

/** Serves the fault switches, the record and the crash command of a stand-in below {@code /standin/}. */
final class ControlRoutes {
    private static final String PREFIX = "/standin/";

    private final Faults faults;
    private final Supplier<Object> record;
    private final Runnable crash;

    ControlRoutes(Faults faults, Supplier<Object> record, Runnable crash) {
        this.faults = faults;
        this.record = record;
        this.crash = crash;
    }

    /** Handles a call whose path starts with {@code /standin/}; returns false, without a response, for any other call. */
    boolean handle(Call call) {
        if (!call.path().startsWith(PREFIX)) {
            return false;
        }
        switch (call.method() + " " + call.path().substring(PREFIX.length())) {
            case "POST faults" -> setFaults(call);
            case "GET faults" -> call.respondWithJson(200, faults.asMap());
            case "GET record" -> call.respondWithJson(200, record.get());
            case "POST crash" -> crash.run();
            default -> call.respondWithStatus(404);
        }
        return true;
    }

    private void setFaults(Call call) {
        try {
            faults.setFromJson(call.body());
            call.respondWithJson(200, faults.asMap());
        } catch (GooseberryringException | IllegalArgumentException e) {
            call.respond(400, "text/plain", String.valueOf(e.getMessage()).getBytes(StandardCharsets.UTF_8));
        }
    }
}
