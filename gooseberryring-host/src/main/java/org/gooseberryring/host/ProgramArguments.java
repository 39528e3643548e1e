package org.gooseberryring.host;

import java.io.PrintStream;
import java.util.OptionalInt;
import java.util.function.BooleanSupplier;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;

/** Parses the arguments of a program and defines its exit codes. */
public final class ProgramArguments {
    /** The program succeeded. */
    public static final int OK = 0;
    /** The program failed to start. */
    public static final int FAILED = 1;
    /** The arguments or the settings are invalid. */
    public static final int USAGE = 2;

    private ProgramArguments() {}

    /**
     * Parses the arguments of a program into its annotated options.
     *
     * @param help returns whether the usage was requested; read after the options are set
     * @return exit code if the arguments are invalid or only the usage was requested, otherwise empty
     */
    public static OptionalInt parse(
            Object options, BooleanSupplier help, String program, String[] args, PrintStream out, PrintStream err) {
        JCommander commander =
                JCommander.newBuilder().addObject(options).programName(program).build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            err.println(program + ": " + e.getMessage());
            return OptionalInt.of(USAGE);
        }
        if (!help.getAsBoolean()) {
            return OptionalInt.empty();
        }
        StringBuilder text = new StringBuilder();
        commander.getUsageFormatter().usage(text);
        out.print(text);
        return OptionalInt.of(OK);
    }
}
