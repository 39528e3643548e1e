package org.gooseberryring.host.log;

import org.jboss.logging.Logger;

/** Builds a log line of key=value pairs for one event. */
public final class LogLine {
    // Passed to the logger so that it reports the caller of this class as the source of the line.
    private static final String CLASS_NAME = LogLine.class.getName();
    private static final int MAX_VALUE_CHARS = 200;

    private final StringBuilder text = new StringBuilder("event=");

    private LogLine(String event) {
        text.append(event);
    }

    /** Starts a line for an event. */
    public static LogLine event(String name) {
        return new LogLine(name);
    }

    /** Adds a pair; skips a null value and replaces characters that could forge another pair or line. */
    public LogLine with(String key, Object value) {
        if (value == null) {
            return this;
        }
        String s = String.valueOf(value);
        text.append(' ').append(key).append('=');
        int length = Math.min(s.length(), MAX_VALUE_CHARS);
        for (int i = 0; i < length; i++) {
            char c = s.charAt(i);
            text.append(c <= ' ' || c == '=' || c == '"' || c > '~' ? '_' : c);
        }
        return this;
    }

    public void info(Logger log) {
        log.info(CLASS_NAME, text, null);
    }

    public void debug(Logger log) {
        log.debug(CLASS_NAME, text, null);
    }

    public void warn(Logger log) {
        log.warn(CLASS_NAME, text, null);
    }

    /** Logs the line as an error with the stack trace of an unexpected failure. */
    public void error(Logger log, Exception failure) {
        log.error(CLASS_NAME, text, failure);
    }

    /** Returns the pairs that describe a failure: its type, message, cause and source. */
    static String failure(Throwable failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        Throwable cause = failure.getCause();
        LogLine line = new LogLine("")
                .with("exception", failure.getClass().getName())
                .with("message", failure.getMessage())
                .with("cause", cause)
                .with("source", trace.length == 0 ? null : trace[0])
                .with(
                        "causeSource",
                        cause == null || cause.getStackTrace().length == 0 ? null : cause.getStackTrace()[0]);
        return line.text.substring("event=".length());
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
