package org.gooseberryring.host.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import org.gooseberryring.protocol.HostEntry;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.GooseberryringException;

/** Reads the settings file and reports all of its faults together. */
public final class SettingsReader {
    private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern HTTP_URI = Pattern.compile("http://[^/?#\\s]+");
    private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern PATH = Pattern.compile("[^\\x00]+");
    // HMAC-SHA-256 is only as strong as its key, so a key shorter than the digest is rejected.
    private static final int MIN_SECRET_BYTES = 32;
    private static final int MAX_SECRET_BYTES = 4096;
    private static final int MAX_RING_SIZE = 1 << 20;
    private static final int MAX_BODY_BYTES = 1 << 28;
    private static final int MAX_COUNT = 1_000_000;
    private static final long MAX_MILLIS = 86_400_000;
    private static final long MAX_SECONDS = 604_800;

    private SettingsReader() {}

    /**
     * Reads and validates a settings file; relative paths in it are resolved against its directory.
     *
     * @throws InvalidSettingsException if the file is invalid, with all faults that were found
     */
    public static HostSettings read(Path file) {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidSettingsException(List.of("cannot read the settings file " + file));
        }
        Path directory = file.toAbsolutePath().getParent();
        return parse(bytes, directory);
    }

    static HostSettings parse(byte[] bytes, Path directory) {
        JsonNode root;
        try {
            root = Json.readTree(bytes);
        } catch (GooseberryringException e) {
            throw new InvalidSettingsException(List.of("$: is not valid JSON: " + e.getMessage()));
        }
        List<String> faults = new ArrayList<>();
        JsonSection section = new JsonSection(root, "", faults);
        HostSettings settings = new HostSettings(
                section.text("hostId", IDENTIFIER),
                section.text("failureDomain", IDENTIFIER),
                section.address("callerAddress"),
                section.address("adminAddress"),
                section.address("peerAddress"),
                section.address("relayAddress"),
                section.uri("platformUri", HTTP_URI),
                secret(section, directory),
                seeds(section),
                tokens(section),
                weightStore(section.section("weightStore")),
                limits(section.section("limits")),
                timeouts(section.section("timeouts")),
                section.number("keyGraceSeconds", 900, 0, MAX_SECONDS),
                section.number("reclaimAfterSeconds", 14_400, 60, MAX_SECONDS),
                // Disabled by default: a process that starts while the store is unavailable cannot be added to the
                // roster,
                // so it could not serve requests until the store is available again.
                section.number("sharedCredits", 0, 0, 1) == 1);
        section.reportUnknownFields();
        if (!faults.isEmpty()) {
            throw new InvalidSettingsException(faults);
        }
        return settings;
    }

    private static byte[] secret(JsonSection section, Path directory) {
        String name = section.text("peerSecretFile", PATH);
        if (name.isEmpty()) {
            return new byte[0];
        }
        try {
            byte[] secret =
                    Files.readString(directory.resolve(name)).strip().getBytes(java.nio.charset.StandardCharsets.UTF_8);
            if (secret.length < MIN_SECRET_BYTES || secret.length > MAX_SECRET_BYTES) {
                section.addFault(
                        "peerSecretFile",
                        "must contain from " + MIN_SECRET_BYTES + " to " + MAX_SECRET_BYTES + " bytes, not "
                                + secret.length);
            }
            return secret;
        } catch (IOException e) {
            section.addFault("peerSecretFile", "cannot be read");
            return new byte[0];
        }
    }

    private static List<HostEntry> seeds(JsonSection section) {
        List<HostEntry> seeds = new ArrayList<>();
        for (JsonSection entry : section.sections("peerSeeds")) {
            seeds.add(new HostEntry(
                    entry.text("id", IDENTIFIER),
                    entry.text("failureDomain", IDENTIFIER),
                    text(entry.address("peerAddress")),
                    text(entry.address("relayAddress")),
                    "live"));
            entry.reportUnknownFields();
        }
        return seeds;
    }

    private static String text(InetSocketAddress address) {
        return address == null ? "" : address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static List<HostSettings.OperatorToken> tokens(JsonSection section) {
        List<HostSettings.OperatorToken> tokens = new ArrayList<>();
        for (JsonSection entry : section.sections("operatorTokens")) {
            tokens.add(new HostSettings.OperatorToken(entry.text("name", IDENTIFIER), entry.text("digest", DIGEST)));
            entry.reportUnknownFields();
        }
        return tokens;
    }

    private static HostSettings.WeightStore weightStore(JsonSection section) {
        HostSettings.WeightStore store =
                new HostSettings.WeightStore(section.number("loadsPerMinute", 60, 1, MAX_COUNT), (int)
                        section.number("concurrency", 3, 1, MAX_COUNT));
        section.reportUnknownFields();
        return store;
    }

    private static HostSettings.Limits limits(JsonSection section) {
        HostSettings.Limits limits = new HostSettings.Limits(
                (int) section.number("maxBodyBytes", 4_000_000, 1, MAX_BODY_BYTES),
                (int) section.number("maxOpenRequests", 4096, 1, MAX_COUNT),
                (int) section.number("maxConnections", 8192, 1, MAX_COUNT),
                (int) section.number("maxEndpointConnections", 1024, 1, MAX_COUNT),
                section.ringSize("requestRingSize", 16_384, MAX_RING_SIZE),
                section.ringSize("controlRingSize", 4096, MAX_RING_SIZE),
                section.ringSize("storeRingSize", 1024, MAX_RING_SIZE),
                section.ringSize("orderRingSize", 1024, MAX_RING_SIZE),
                section.ringSize("auditRingSize", 4096, MAX_RING_SIZE),
                (int) section.number("peerQueueFrames", 4096, 1, MAX_COUNT));
        section.reportUnknownFields();
        return limits;
    }

    private static HostSettings.Timeouts timeouts(JsonSection section) {
        HostSettings.Timeouts timeouts = new HostSettings.Timeouts(
                section.number("storeMillis", 2000, 1, MAX_MILLIS),
                section.number("watchMillis", 20_000, 1, MAX_MILLIS),
                section.number("pollMillis", 1000, 1, MAX_MILLIS),
                section.number("connectMillis", 1000, 1, MAX_MILLIS),
                section.number("firstByteMillis", 30_000, 1, MAX_MILLIS),
                section.number("idleMillis", 15_000, 1, MAX_MILLIS),
                section.number("bodyMillis", 30_000, 1, MAX_MILLIS),
                section.number("deadlineMillis", 120_000, 1, MAX_MILLIS),
                section.number("drainNoticeMillis", 5000, 0, MAX_MILLIS),
                section.number("drainLimitMillis", 120_000, 0, MAX_MILLIS));
        section.reportUnknownFields();
        return timeouts;
    }
}
