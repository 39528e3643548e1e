package org.gooseberryring.host.caller;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;

/**
 * Decides how the response to a request starts and ends; all methods run on the I/O thread of its exchange.
 *
 * <p>A response of an endpoint, a recorded response and a refusal exclude each other. The first one that is tried is
 * written, and nothing is written or closed after the exchange has ended, since its connection may serve the caller's
 * next request.
 */
public final class ResponseProgress {
    private static final AttachmentKey<ResponseProgress> KEY = AttachmentKey.create(ResponseProgress.class);

    private static final long NOT_STARTED = -1;

    private final long createdNanos = System.nanoTime();
    private State state = State.WAITING;
    private boolean closed;
    private long startedMillis = NOT_STARTED;

    /** State of a response. */
    public enum State {
        /** No byte of a response has been written. */
        WAITING,
        /** A part of an endpoint's response has been written. */
        STARTED,
        /** The endpoint's response, or a recorded one, has been written completely. */
        COMPLETE,
        /** A refusal has been written. */
        REFUSED,
        /** The connection was closed after a part of the response. */
        CUT;

        /** Returns whether the caller has all that it will get. */
        public boolean isEnd() {
            return this == COMPLETE || this == REFUSED;
        }

        /** Returns the name in log lines. */
        public String logName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Returns the progress of the response to an exchange, null if no request was accepted. */
    public static ResponseProgress of(HttpServerExchange exchange) {
        return exchange.getAttachment(KEY);
    }

    /** Creates the progress of the response to an exchange. */
    static ResponseProgress attach(HttpServerExchange exchange) {
        ResponseProgress progress = new ResponseProgress();
        exchange.putAttachment(KEY, progress);
        exchange.addExchangeCompleteListener((ended, next) -> {
            progress.closed = true;
            next.proceed();
        });
        return progress;
    }

    public State state() {
        return state;
    }

    /** Returns the milliseconds from the complete request to the start of its response, -1 if none has started. */
    public long startedMillis() {
        return startedMillis;
    }

    /** Returns whether the exchange has ended, so that no byte of a response can be written any more. */
    boolean isClosed() {
        return closed;
    }

    /** Returns whether the caller still waits for a response, or for the rest of one. */
    boolean isIncomplete() {
        return !closed && (state == State.WAITING || state == State.STARTED);
    }

    /** Returns whether the response of an endpoint has started. */
    boolean hasStarted() {
        return startedMillis != NOT_STARTED;
    }

    /** Starts the response of an endpoint; returns false if another response or the end of the exchange was first. */
    boolean tryStart() {
        if (!tryLeave(State.WAITING, State.STARTED)) {
            return false;
        }
        startedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - createdNanos);
        return true;
    }

    /** Takes the response for a refusal; returns false if another response or the end of the exchange was first. */
    boolean tryRefuse() {
        return tryLeave(State.WAITING, State.REFUSED);
    }

    /** Takes the response for a recorded one; returns false if another response or the end of the exchange was first. */
    boolean tryReplay() {
        return tryLeave(State.WAITING, State.COMPLETE);
    }

    /** Completes the response of an endpoint; returns false if it has not started or the exchange has ended. */
    boolean tryComplete() {
        return tryLeave(State.STARTED, State.COMPLETE);
    }

    /** Cuts the response of an endpoint; returns false if it has not started or the exchange has ended. */
    boolean tryCut() {
        return tryLeave(State.STARTED, State.CUT);
    }

    private boolean tryLeave(State expected, State next) {
        if (closed || state != expected) {
            return false;
        }
        state = next;
        return true;
    }
}
