package org.gooseberryring.host.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class SettingsReaderTest {
    private static final String VALID = "{'hostId':'h1','failureDomain':'d1','callerAddress':'127.0.0.1:0',"
            + "'adminAddress':'127.0.0.1:0','peerAddress':'127.0.0.1:0','relayAddress':'127.0.0.1:0',"
            + "'platformUri':'http://127.0.0.1:1','peerSecretFile':'secret'}";

    @TempDir
    private Path directory;

    /** Guards against defaults that a valid file does not get. */
    @Test
    void missingSectionsGetDefaults() throws IOException {
        Files.writeString(directory.resolve("secret"), "s".repeat(32));

        HostSettings settings = read(VALID);

        assertThat(settings.keyGraceSeconds()).isEqualTo(900);
        assertThat(settings.reclaimAfterSeconds()).isEqualTo(14_400);
    }

    /** Guards against a start with half a configuration, and against faults that are found one by one. */
    @Test
    void everyFaultIsNamedByItsPath() throws IOException {
        Files.writeString(directory.resolve("secret"), "short");
        String broken = VALID.replace("'h1'", "7")
                .replace("'callerAddress':'127.0.0.1:0'", "'callerAddress':'127.0.0.1:70000'")
                .replace("'relayAddress':'127.0.0.1:0',", "")
                .replaceFirst(
                        "}$",
                        ",'limits':{'requestRingSize':1000,'maxBody':1},'operatorTokens':[{'name':'ann'}],"
                                + "'keyGraceSeconds':-1}");

        List<String> faults =
                assertThrows(InvalidSettingsException.class, () -> read(broken)).faults();

        assertThat(faults.stream().map(fault -> fault.substring(0, fault.indexOf(':'))))
                .containsExactly(
                        "hostId",
                        "callerAddress",
                        "relayAddress",
                        "peerSecretFile",
                        "limits.requestRingSize",
                        "limits.maxBody",
                        "operatorTokens[0].digest",
                        "keyGraceSeconds");
    }

    private HostSettings read(String json) throws IOException {
        Path file = Files.writeString(directory.resolve("settings.json"), json.replace('\'', '"'));
        return SettingsReader.read(file);
    }
}
