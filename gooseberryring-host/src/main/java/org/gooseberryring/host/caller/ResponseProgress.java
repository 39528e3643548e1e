package org.gooseberryring.host.caller;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;

/** How far the response to a request has come, and how it has ended; accessed on the I/O thread of its exchange. */
public final class ResponseProgress {
    private static final AttachmentKey<ResponseProgress> KEY = AttachmentKey.create(ResponseProgress.class);

    private static final long NOT_STARTED = -1;

    private final long createdNanos = System.nanoTime();
    private State state = State.WAITING;
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
        return progress;
    }

    public State state() {
        return state;
    }

    /** Returns the milliseconds from the complete request to the start of its response, -1 if none has started. */
    public long startedMillis() {
        return startedMillis;
    }

    void onStarted() {
        state = State.STARTED;
        startedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - createdNanos);
    }

    void onCompleted() {
        state = State.COMPLETE;
    }

    void onRefused() {
        state = State.REFUSED;
    }

    void onCut() {
        state = State.CUT;
    }
}
