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

    /** Guards against settings that do not get their default values when a section is missing. */
    @Test
    void missingSectionsGetDefaults() throws IOException {
        Files.writeString(directory.resolve("secret"), "s".repeat(32));

        HostSettings settings = read(VALID);

        assertThat(settings.keyGraceSeconds()).isEqualTo(900);
        assertThat(settings.reclaimAfterSeconds()).isEqualTo(14_400);
    }

    /** Guards against accepting incomplete settings and against reporting only one fault at a time. */
    @Test
    void allFaultsAreReportedByPath() throws IOException {
        Files.writeString(directory.resolve("secret"), "short");
        String invalid = VALID.replace("'h1'", "7")
                .replace("'callerAddress':'127.0.0.1:0'", "'callerAddress':'127.0.0.1:70000'")
                .replace("'relayAddress':'127.0.0.1:0',", "")
                .replaceFirst(
                        "}$",
                        ",'limits':{'requestRingSize':1000,'maxBody':1},'operatorTokens':[{'name':'ann'}],"
                                + "'keyGraceSeconds':-1}");

        List<String> faults = assertThrows(InvalidSettingsException.class, () -> read(invalid))
                .faults();

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
