package org.gooseberryring.ctl;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.UUID;

import org.gooseberryring.ctl.admin.JdkHttpCalls;
import org.gooseberryring.ctl.admin.Pause;
import org.gooseberryring.ctl.command.CommandLine;
import org.gooseberryring.ctl.command.Console;
import org.gooseberryring.ctl.command.Context;

/** Entry point of the command line. */
public final class CtlMain {
    private static final int KEY_BYTES = 32;
    private static final String KEY_PREFIX = "gbr_";

    private CtlMain() {}

    /** Runs the command that the arguments name and exits with its code. */
    public static void main(String[] args) {
        Context context = new Context(
                new Console(System.out, System.err),
                new JdkHttpCalls(),
                Pause.blocking(),
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
