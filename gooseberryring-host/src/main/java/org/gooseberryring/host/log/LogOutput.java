package org.gooseberryring.host.log;

import java.io.PrintStream;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.gooseberryring.host.ring.EventRing;

/**
 * Writes each log record as one line, on a thread of its own, and never blocks the thread that logs.
 *
 * <p>Below the level of a warning, at most a fixed number of lines is written each second. A line states how many were
 * left out.
 */
public final class LogOutput extends Handler {
    private static final int RING_LINES = 4_096;
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final String PROJECT = "org.gooseberryring";
    private static final String EVENT_PREFIX = "event=";

    private final PrintStream out;
    private final int linesPerSecond;
    private final EventRing<String> ring;
    private final AtomicLong leftOut = new AtomicLong();
    private long second;
    private int written;

    /**
     * Creates an output.
     *
     * @param out receives the lines
     * @param linesPerSecond lines below the level of a warning that are written each second
     */
    public LogOutput(PrintStream out, int linesPerSecond) {
        this.out = out;
        this.linesPerSecond = linesPerSecond;
        this.ring = new EventRing<String>("log", RING_LINES, out::println).start();
    }

    /** Replaces the outputs of the process by this one and lets the project log its decisions. */
    public void install() {
        Logger root = Logger.getLogger("");
        for (Handler old : root.getHandlers()) {
            root.removeHandler(old);
        }
        root.addHandler(this);
        Logger.getLogger(PROJECT).setLevel(Level.FINE);
    }

    @Override
    public void publish(LogRecord entry) {
        if (entry.getLevel().intValue() < Level.WARNING.intValue() && !admit(System.nanoTime())) {
            leftOut.incrementAndGet();
            return;
        }
        long missing = leftOut.getAndSet(0);
        if (missing > 0) {
            offer("at=" + entry.getMillis() + " level=warning event=log-lines-left-out count=" + missing);
        }
        offer(format(entry));
    }

    @Override
    public void flush() {
        out.flush();
    }

    @Override
    public void close() {
        ring.close();
        out.flush();
    }

    /** Returns a record as one line. */
    static String format(LogRecord entry) {
        StringBuilder line = new StringBuilder("at=").append(entry.getMillis());
        line.append(" level=").append(entry.getLevel().getName().toLowerCase(Locale.ROOT));
        String message = String.valueOf(entry.getMessage());
        if (message.startsWith(EVENT_PREFIX)) {
            line.append(' ').append(message);
        } else {
            // Lines of libraries have no event of their own.
            line.append(' ')
                    .append(LogLine.event("library")
                            .with("logger", entry.getLoggerName())
                            .with("message", message));
        }
        if (entry.getThrown() != null) {
            line.append(LogLine.failure(entry.getThrown()));
        }
        return line.toString();
    }

    private void offer(String line) {
        if (!ring.offer(line)) {
            leftOut.incrementAndGet();
        }
    }

    private synchronized boolean admit(long nowNanos) {
        long current = nowNanos / NANOS_PER_SECOND;
        if (current != second) {
            second = current;
            written = 0;
        }
        written++;
        return written <= linesPerSecond;
    }
}
