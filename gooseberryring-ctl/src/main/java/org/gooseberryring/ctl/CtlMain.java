package org.gooseberryring.ctl;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import java.util.UUID;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.gooseberryring.ctl.admin.Sleeper;
import org.gooseberryring.ctl.admin.TransportHttpCalls;
import org.gooseberryring.ctl.command.CommandLine;
import org.gooseberryring.ctl.command.Console;
import org.gooseberryring.ctl.command.Context;
import org.gooseberryring.transport.http.HttpCaller;
import org.gooseberryring.transport.http.HttpWorker;

/** Entry point of the command line. */
public final class CtlMain {
    private static final int KEY_BYTES = 32;
    private static final String KEY_PREFIX = "gbr_";
    // These libraries log their versions at start-up, which would be mixed into the output of the command.
    private static final List<Logger> NOISY_LOGGERS =
            List.of(Logger.getLogger("org.xnio"), Logger.getLogger("org.jboss.threads"));

    private CtlMain() {}

    /** Runs the selected command and exits with its exit code. */
    public static void main(String[] args) {
        NOISY_LOGGERS.forEach(logger -> logger.setLevel(Level.WARNING));
        HttpWorker worker = HttpWorker.start("gooseberryctl", 1, 1);
        Context context = new Context(
                new Console(System.out, System.err),
                new TransportHttpCalls(new HttpCaller(worker)),
                Sleeper.blocking(),
                () -> UUID.randomUUID().toString(),
                CtlMain::newKey);
        System.exit(new CommandLine(context).run(args).number());
    }

    private static String newKey() {
        byte[] bytes = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(bytes);
        return KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }
}
