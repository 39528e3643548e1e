package org.gooseberryring.ctl.explain;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;

import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;

/** Log files of hosts, which are read again for each pass and never loaded into memory completely. */
final class LogFiles implements EventSource {
    private static final String SUFFIX = ".log";

    private final List<Path> files;

    LogFiles(List<Path> files) {
        this.files = List.copyOf(files);
    }

    @Override
    public void forEach(Consumer<LogEvent> receiver) {
        files.forEach(file -> read(file, receiver));
    }

    private static void read(Path file, Consumer<LogEvent> receiver) {
        String name = file.getFileName().toString();
        String host = name.endsWith(SUFFIX) ? name.substring(0, name.length() - SUFFIX.length()) : name;
        // Malformed UTF-8, as in a truncated line, is replaced instead of failing.
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                LogEvent.parse(line, host).ifPresent(receiver);
            }
        } catch (IOException e) {
            throw new CtlException(ExitCode.BAD_INPUT, "Cannot read " + file);
        }
    }
}
