package org.gooseberryring.ctl.command;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.ctl.admin.AdminClient;

/** Options shared by all commands that call the administration interface. */
@Parameters(separators = "=")
public final class AdminOptions {
    @Parameter(
            names = "--admin",
            description =
                    "Administration address of a host, http://ip:port; repeat it for more hosts, which are tried in turn")
    private List<String> admin = new ArrayList<>();

    @Parameter(names = "--token-file", description = "File that contains the operator token")
    private String tokenFile;

    @Parameter(names = "--json", description = "Prints JSON")
    private boolean json;

    @Parameter(names = "--help", help = true, description = "Prints the usage of the command")
    private boolean help;

    public boolean isJson() {
        return json;
    }

    public boolean isHelpRequested() {
        return help;
    }

    public boolean hasAddresses() {
        return !admin.isEmpty();
    }

    /**
     * Creates a client for the addresses given by {@code --admin}.
     *
     * @throws CtlException if no address is given, an address is malformed or the token file cannot be read
     */
    public AdminClient client(Context context) {
        if (admin.isEmpty()) {
            throw new CtlException(ExitCode.BAD_INPUT, "Option --admin is missing");
        }
        List<URI> addresses = admin.stream().map(AdminOptions::address).toList();
        return new AdminClient(context.calls(), addresses, token(), context.sleeper());
    }

    private String token() {
        if (tokenFile == null) {
            return null;
        }
        try {
            return Files.readString(Path.of(tokenFile)).strip();
        } catch (IOException e) {
            throw new CtlException(ExitCode.BAD_INPUT, "Cannot read the token file " + tokenFile);
        }
    }

    private static URI address(String text) {
        try {
            URI uri = URI.create(text);
            if ("http".equals(uri.getScheme()) && uri.getPort() > 0) {
                return uri;
            }
        } catch (IllegalArgumentException e) {
            // Reported below with a clearer message than that of the parser.
        }
        throw new CtlException(ExitCode.BAD_INPUT, "Option --admin must be http://ip:port, not " + text);
    }
}
