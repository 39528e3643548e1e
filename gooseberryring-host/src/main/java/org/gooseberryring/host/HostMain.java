package org.gooseberryring.host;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.Parameter;
import org.gooseberryring.host.settings.HostSettings;
import org.gooseberryring.host.settings.InvalidSettingsException;
import org.gooseberryring.host.settings.SettingsReader;

/** Entry point of the program {@code gooseberryring}. */
public final class HostMain {
    private static final String PROGRAM = "gooseberryring";

    @Parameter(names = "--settings", description = "Settings file (JSON)")
    private String settingsFile;

    @Parameter(names = "--check-settings", description = "Validate the settings file and exit")
    private boolean checkOnly;

    @Parameter(names = "--help", help = true, description = "Show this help")
    private boolean help;

    private HostMain() {}

    /** Runs the program. */
    public static void main(String[] args) throws InterruptedException {
        int code = new HostMain().run(args, System.out, System.err);
        if (code != ProgramArguments.OK) {
            System.exit(code);
        }
    }

    /** Runs the program and returns its exit code; returns 0 immediately if only a check or help was requested. */
    static int runOnce(String[] args, PrintStream out, PrintStream err) throws InterruptedException {
        return new HostMain().run(args, out, err);
    }

    private int run(String[] args, PrintStream out, PrintStream err) throws InterruptedException {
        OptionalInt ended = ProgramArguments.parse(this, () -> help, PROGRAM, args, out, err);
        if (ended.isPresent()) {
            return ended.getAsInt();
        }
        if (settingsFile == null) {
            err.println(PROGRAM + ": --settings is required");
            return ProgramArguments.USAGE;
        }
        HostSettings settings;
        try {
            settings = SettingsReader.read(Path.of(settingsFile));
        } catch (InvalidSettingsException e) {
            e.faults().forEach(fault -> err.println(PROGRAM + ": " + fault));
            return ProgramArguments.USAGE;
        }
        return checkOnly ? ProgramArguments.OK : serve(settings, err);
    }

    private static int serve(HostSettings settings, PrintStream err) throws InterruptedException {
        Host host;
        try {
            host = Host.start(settings);
        } catch (RuntimeException e) {
            err.println(PROGRAM + ": cannot start: " + e.getMessage());
            return ProgramArguments.FAILED;
        }
        CountDownLatch ended = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            host.drain();
                            ended.countDown();
                        },
                        "shutdown"));
        ended.await();
        return ProgramArguments.OK;
    }
}
