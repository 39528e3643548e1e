package org.gooseberryring.ctl.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.Set;

/** Files of the demonstration fleet, in one directory. */
final class DemoFiles {
    static final String PEER_SECRET = "peer-secret";
    static final String OPERATOR_TOKEN = "operator-token";
    static final String ADMIN_ADDRESSES = "admin-addresses";
    static final String CALLER_ADDRESSES = "caller-addresses";
    static final String SERVICE_ADDRESSES = "service-addresses";
    static final String CHANGES = "changes.json";
    static final String SHEET = "sheet.csv";
    static final String KEY = "key";
    private static final Set<PosixFilePermission> OWNER_ONLY = PosixFilePermissions.fromString("rw-------");

    private final Path directory;

    DemoFiles(Path directory) {
        this.directory = directory;
    }

    void write(String name, String text) {
        try {
            Files.writeString(directory.resolve(name), text);
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot write " + name, e);
        }
    }

    /** Writes a file that only its owner can read. */
    void writeSecret(String name, String text) {
        try {
            Path file = directory.resolve(name);
            Files.deleteIfExists(file);
            Files.createFile(file, PosixFilePermissions.asFileAttribute(OWNER_ONLY));
            Files.writeString(file, text);
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot write " + name, e);
        }
    }

    List<String> lines(String name) {
        try {
            return Files.readAllLines(directory.resolve(name));
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot read " + name, e);
        }
    }

    String firstLine(String name) {
        return lines(name).get(0).strip();
    }
}
