package org.gooseberryring.ctl.demo;

import java.net.URI;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.DynamicParameter;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.ctl.command.Command;
import org.gooseberryring.ctl.command.Context;
import org.gooseberryring.ctl.command.KeyDigest;
import org.gooseberryring.protocol.HostEntry;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.Change;

/** Writes the files of the demonstration fleet and registers its hosts with the platform stand-in. */
@Parameters(hidden = true, commandDescription = "Writes the files of the demonstration fleet")
public final class DemoPrepareCommand implements Command {
    private static final int ADDRESSES_PER_HOST = 4;
    private static final int SECRET_BYTES = 32;
    private static final long REGISTRATION_TIMEOUT_MILLIS = 5_000;

    @Parameter(names = "--dir", required = true, description = "Directory of the files")
    private String directory;

    @Parameter(names = "--platform", required = true, description = "Address of the platform stand-in, ip:port")
    private String platform;

    @DynamicParameter(names = "-E", description = "Address of a model engine, -Eid=ip:port")
    private Map<String, String> engines = new LinkedHashMap<>();

    @DynamicParameter(names = "-S", description = "Address of a plain service, -Sid=ip:port")
    private Map<String, String> services = new LinkedHashMap<>();

    @Parameter(names = "--help", help = true, description = "Prints the usage")
    private boolean help;

    @Override
    public ExitCode run(Context context) {
        DemoFiles files = new DemoFiles(Path.of(directory));
        String token = secret();
        files.writeSecret(DemoFiles.OPERATOR_TOKEN, token);
        files.writeSecret(DemoFiles.PEER_SECRET, secret());
        files.write(DemoFiles.SHEET, DemoFleet.SHEET);
        files.write(
                DemoFiles.CHANGES,
                Json.writeString(DemoFleet.changes(engines, services).toArray(Change[]::new)));
        List<String> addresses = FreePorts.addresses(ADDRESSES_PER_HOST * DemoFleet.DOMAINS.size());
        List<String> callers = new ArrayList<>();
        List<String> admins = new ArrayList<>();
        for (int i = 0; i < DemoFleet.DOMAINS.size(); i++) {
            String domain = DemoFleet.DOMAINS.get(i);
            List<String> hostAddresses = addresses.subList(i * ADDRESSES_PER_HOST, (i + 1) * ADDRESSES_PER_HOST);
            callers.add(hostAddresses.get(0));
            admins.add(hostAddresses.get(1));
            HostEntry entry =
                    new HostEntry("host-" + domain, domain, hostAddresses.get(2), hostAddresses.get(3), "live");
            files.write(entry.id() + ".json", settings(entry, hostAddresses.get(0), hostAddresses.get(1), token));
            register(context, entry);
        }
        files.write(DemoFiles.SERVICE_ADDRESSES, String.join("\n", services.values()) + "\n");
        files.write(DemoFiles.CALLER_ADDRESSES, String.join("\n", callers) + "\n");
        files.write(DemoFiles.ADMIN_ADDRESSES, String.join("\n", admins) + "\n");
        return ExitCode.DONE;
    }

    @Override
    public boolean isHelpRequested() {
        return help;
    }

    private String settings(HostEntry entry, String caller, String admin, String token) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("hostId", entry.id());
        settings.put("failureDomain", entry.failureDomain());
        settings.put("callerAddress", caller);
        settings.put("adminAddress", admin);
        settings.put("peerAddress", entry.peerAddress());
        settings.put("relayAddress", entry.relayAddress());
        settings.put("platformUri", "http://" + platform);
        settings.put("peerSecretFile", DemoFiles.PEER_SECRET);
        settings.put("operatorTokens", List.of(Map.of("name", "demo", "digest", KeyDigest.of(token))));
        settings.put("timeouts", Map.of("drainNoticeMillis", 0));
        return Json.writeString(settings) + "\n";
    }

    private void register(Context context, HostEntry entry) {
        URI uri = URI.create("http://" + platform + "/v1/hosts/" + entry.id());
        if (!context.calls()
                .call("PUT", uri, Map.of(), Json.write(entry), REGISTRATION_TIMEOUT_MILLIS)
                .isSuccessful()) {
            throw new CtlException(
                    ExitCode.UNREACHABLE, "The platform rejected the registration of host " + entry.id());
        }
    }

    private static String secret() {
        byte[] bytes = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
