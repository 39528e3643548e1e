package org.gooseberryring.ctl.command;

import java.io.PrintStream;

import org.gooseberryring.protocol.Json;

/** Output of a command: results go to one stream, errors and progress events to another. */
public final class Console {
    private final PrintStream out;
    private final PrintStream err;

    public Console(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    public void print(String line) {
        out.println(line);
        out.flush();
    }

    public void printJson(Object value) {
        print(Json.writeString(value));
    }

    public void printError(String line) {
        err.println(line);
        err.flush();
    }
}
