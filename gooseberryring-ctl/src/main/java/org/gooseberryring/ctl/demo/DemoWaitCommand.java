package org.gooseberryring.ctl.demo;

import java.net.URI;
import java.nio.file.Path;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.ctl.admin.NoResponseException;
import org.gooseberryring.ctl.command.Command;
import org.gooseberryring.ctl.command.Context;

/** Waits until all hosts of the demonstration fleet respond with success at a path of the administration address. */
@Parameters(hidden = true, commandDescription = "Waits until the hosts of the demonstration fleet are up")
public final class DemoWaitCommand implements Command {
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final long POLL_INTERVAL_MILLIS = 100;
    private static final int MAX_ATTEMPTS = 300;

    @Parameter(names = "--dir", required = true, description = "Directory of the files")
    private String directory;

    @Parameter(names = "--path", description = "Path that must respond with a success status")
    private String path = "/readyz";

    @Parameter(names = "--help", help = true, description = "Prints the usage")
    private boolean help;

    @Override
    public ExitCode run(Context context) {
        for (String address : new DemoFiles(Path.of(directory)).lines(DemoFiles.ADMIN_ADDRESSES)) {
            URI uri = URI.create("http://" + address + path);
            for (int attempt = 0; !isSuccessful(context, uri); attempt++) {
                if (attempt == MAX_ATTEMPTS) {
                    throw new CtlException(ExitCode.UNREACHABLE, "No success status from " + uri);
                }
                context.sleeper().sleep(POLL_INTERVAL_MILLIS);
            }
        }
        return ExitCode.DONE;
    }

    @Override
    public boolean isHelpRequested() {
        return help;
    }

    private static boolean isSuccessful(Context context, URI uri) {
        try {
            return context.calls()
                    .call("GET", uri, Map.of(), null, CALL_TIMEOUT_MILLIS)
                    .isSuccessful();
        } catch (NoResponseException e) {
            return false;
        }
    }
}
