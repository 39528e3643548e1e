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

/** Waits until the hosts of the demonstration fleet serve their administration address. */
@Parameters(hidden = true, commandDescription = "Waits until the hosts of the demonstration fleet are up")
public final class DemoWaitCommand implements Command {
    private static final long CALL_MILLIS = 1_000;
    private static final long PAUSE_MILLIS = 100;
    private static final int ATTEMPTS = 300;

    @Parameter(names = "--dir", required = true, description = "Directory of the files")
    private String directory;

    @Parameter(names = "--path", description = "Path that must answer 200")
    private String path = "/readyz";

    @Parameter(names = "--help", help = true, description = "Prints the usage")
    private boolean help;

    @Override
    public ExitCode run(Context context) {
        for (String address : new DemoFiles(Path.of(directory)).lines(DemoFiles.ADMIN_ADDRESSES)) {
            URI uri = URI.create("http://" + address + path);
            for (int attempt = 0; !ok(context, uri); attempt++) {
                if (attempt == ATTEMPTS) {
                    throw new CtlException(ExitCode.UNREACHABLE, "No answer 200 from " + uri);
                }
                context.pause().millis(PAUSE_MILLIS);
            }
        }
        return ExitCode.DONE;
    }

    @Override
    public boolean help() {
        return help;
    }

    private static boolean ok(Context context, URI uri) {
        try {
            return context.calls().call("GET", uri, Map.of(), null, CALL_MILLIS).ok();
        } catch (NoResponseException e) {
            return false;
        }
    }
}
