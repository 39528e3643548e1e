package org.gooseberryring.ctl.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;

/** Reads input files up to a maximum size. */
public final class InputFile {
    private static final int MAX_BYTES = 64_000_000;
    private static final String STANDARD_INPUT = "-";

    private InputFile() {}

    /**
     * Reads a file, or standard input if the name is {@code -}.
     *
     * @throws CtlException if the file cannot be read or is too large
     */
    public static byte[] read(String name) {
        try {
            byte[] bytes = STANDARD_INPUT.equals(name)
                    ? System.in.readNBytes(MAX_BYTES + 1)
                    : Files.newInputStream(Path.of(name)).readNBytes(MAX_BYTES + 1);
            if (bytes.length > MAX_BYTES) {
                throw new CtlException(ExitCode.BAD_INPUT, name + " is larger than " + MAX_BYTES + " bytes");
            }
            return bytes;
        } catch (IOException e) {
            throw new CtlException(ExitCode.BAD_INPUT, "Cannot read " + name);
        }
    }
}
