package org.gooseberryring.host;

import java.io.PrintStream;
import java.util.OptionalInt;
import java.util.function.BooleanSupplier;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;

/** Parses the arguments of a program and names its exit codes. */
public final class ProgramArguments {
    /** The program did what it was asked to. */
    public static final int OK = 0;
    /** The program could not start. */
    public static final int FAILED = 1;
    /** The arguments or the settings are wrong. */
    public static final int USAGE = 2;

    private ProgramArguments() {}

    /**
     * Sets the annotated options of a program from its arguments.
     *
     * @param help whether the usage was asked for, known once the options are set
     * @return exit code of a program that ends at once, since its arguments are wrong or only its usage was asked for
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
