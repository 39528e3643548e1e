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
 * Writes each log record as one line on a dedicated thread and never blocks the logging thread.
 *
 * <p>The number of lines per second below the warning level is limited. A separate line reports how many lines were
 * dropped.
 */
public final class LogOutput extends Handler {
    private static final int RING_LINES = 4_096;
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final String PROJECT = "org.gooseberryring";
    private static final String EVENT_PREFIX = "event=";

    private final PrintStream out;
    private final int linesPerSecond;
    private final EventRing<String> ring;
    private final AtomicLong droppedLines = new AtomicLong();
    private long currentSecond;
    private int writtenLines;

    /**
     * Creates an output.
     *
     * @param out receives the lines
     * @param linesPerSecond maximum number of lines per second below the warning level
     */
    public LogOutput(PrintStream out, int linesPerSecond) {
        this.out = out;
        this.linesPerSecond = linesPerSecond;
        this.ring = new EventRing<String>("log", RING_LINES, out::println).start();
    }

    /** Replaces all log handlers of the process by this one and enables the debug level for this project. */
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
        if (entry.getLevel().intValue() < Level.WARNING.intValue() && !tryAcquireLine(System.nanoTime())) {
            droppedLines.incrementAndGet();
            return;
        }
        long dropped = droppedLines.getAndSet(0);
        if (dropped > 0) {
            offer("at=" + entry.getMillis() + " level=warning event=log-lines-left-out count=" + dropped);
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

    /** Formats a record as one line. */
    static String format(LogRecord entry) {
        StringBuilder line = new StringBuilder("at=").append(entry.getMillis());
        line.append(" level=").append(entry.getLevel().getName().toLowerCase(Locale.ROOT));
        String message = String.valueOf(entry.getMessage());
        if (message.startsWith(EVENT_PREFIX)) {
            line.append(' ').append(message);
        } else {
            // Records of libraries do not name an event.
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
            droppedLines.incrementAndGet();
        }
    }

    private synchronized boolean tryAcquireLine(long nowNanos) {
        long second = nowNanos / NANOS_PER_SECOND;
        if (second != currentSecond) {
            currentSecond = second;
            writtenLines = 0;
        }
        writtenLines++;
        return writtenLines <= linesPerSecond;
    }
}
