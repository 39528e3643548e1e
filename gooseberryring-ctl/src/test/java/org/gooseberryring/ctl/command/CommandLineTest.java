package org.gooseberryring.ctl.command;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.ctl.admin.AdminResponse;
import org.gooseberryring.ctl.admin.HttpCalls;
import org.gooseberryring.ctl.admin.NoResponseException;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.ChangeRecord;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.SheetRow;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class CommandLineTest {
    private static final String ADMIN = "--admin=http://127.0.0.1:1";
    private static final String KEY = "gbr_secret";

    private final FakeHost host = new FakeHost();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir
    private Path directory;

    /** Guards against a change that is applied twice, or reported as a conflict, after its response was lost. */
    @Test
    void retriesChangeWithSameIdAndFindsItInAuditTrailAfterLostResponse() {
        host.lostResponses = 1;

        assertThat(run("domain", "out", "a", ADMIN)).isEqualTo(ExitCode.DONE);

        assertThat(host.changeIds).containsExactly("change-1", "change-1");
        assertThat(host.revision).isEqualTo(1);
        assertThat(text(out)).contains("revision 1");
    }

    /** Guards against a sheet that silently overwrites one that another operator has just applied. */
    @Test
    void reportsConflictWhenSheetChangedConcurrently() throws IOException {
        host.remainingConflicts = 1;
        host.sheetChangesOnConflict = true;

        assertThat(run("sheet", "apply", sheet("m,,1,1,\n"), ADMIN)).isEqualTo(ExitCode.CONFLICT);

        assertThat(host.changeIds).hasSize(1);
    }

    /** Guards against changes that fail because the system moved a placement concurrently. */
    @Test
    void rebasesChangeAfterUnrelatedConflicts() {
        host.remainingConflicts = 2;

        assertThat(run("endpoint", "drain", "e1", ADMIN)).isEqualTo(ExitCode.DONE);
    }

    /** Guards against sending the valid rows of an invalid sheet. */
    @Test
    void sendsNothingForInvalidSheet() throws IOException {
        assertThat(run("sheet", "apply", sheet("m,,1,1,\nn,,1,x,\n"), ADMIN)).isEqualTo(ExitCode.BAD_INPUT);

        assertThat(text(err)).contains("line 3, column replicas: 'x'");
        assertThat(host.requests).isEmpty();
    }

    /** Guards against a key that is sent to a host, written to the error stream or never printed. */
    @Test
    void sendsOnlyDigestOfKey() {
        assertThat(run("key", "issue", "acme", "--label", "till", ADMIN)).isEqualTo(ExitCode.DONE);

        assertThat(String.join("", host.requests)).doesNotContain(KEY);
        assertThat(String.join("", host.requests)).contains(KeyDigest.of(KEY));
        assertThat(text(out)).contains(KEY);
        assertThat(text(err)).doesNotContain(KEY);
    }

    /** Guards against printing a key that the host refused. */
    @Test
    void doesNotPrintRefusedKey() {
        host.refusesChanges = true;

        assertThat(run("key", "issue", "acme", "--label", "till", ADMIN)).isEqualTo(ExitCode.REFUSED);

        assertThat(text(out)).isEmpty();
        assertThat(text(err)).contains("changes[0].organisation: does not exist");
    }

    /** Guards against refusals of a sheet that do not refer to lines of the file. */
    @Test
    void reportsRefusedRowByLineNumber() throws IOException {
        host.refusesChanges = true;
        host.refusedPath = "changes[0].rows[1].artifact";

        assertThat(run("sheet", "apply", sheet("m,,1,1,\n\nn,,1,1,\n"), ADMIN)).isEqualTo(ExitCode.REFUSED);

        assertThat(text(err)).contains("line 4.artifact: does not exist");
    }

    /** Guards against an unreachable system that scripts cannot distinguish from a refusal. */
    @Test
    void returnsUnreachableWhenNoHostResponds() {
        host.unreachable = true;

        assertThat(run("domain", "in", "a", ADMIN)).isEqualTo(ExitCode.UNREACHABLE);

        assertThat(text(err)).contains("may have taken effect");
    }

    /** Guards against invalid arguments that cause a request to a host or another exit code. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "sheet",
                "sheet plan",
                "nonsense",
                "key issue acme --admin=http://127.0.0.1:1",
                "status --admin=ftp://x",
                "status",
                "apply /does/not/exist --admin=http://127.0.0.1:1"
            })
    void rejectsInvalidArguments(String line) {
        assertThat(run(line.isEmpty() ? new String[0] : line.split(" "))).isEqualTo(ExitCode.BAD_INPUT);
        assertThat(host.requests).isEmpty();
    }

    /** Guards against a command whose {@code --help} requires its mandatory arguments. */
    @ParameterizedTest
    @ValueSource(strings = {"--help", "sheet --help", "sheet plan --help", "key issue --help", "status --help"})
    void printsUsage(String line) {
        assertThat(run(line.split(" "))).isEqualTo(ExitCode.DONE);
        assertThat(text(out)).contains("Exit codes");
    }

    private ExitCode run(String... args) {
        Context context = new Context(
                new Console(new PrintStream(out), new PrintStream(err)),
                host,
                millis -> {},
                () -> "change-1",
                () -> KEY);
        return new CommandLine(context).run(args);
    }

    private String sheet(String rows) throws IOException {
        Path file = directory.resolve("sheet.csv");
        Files.writeString(file, "model,adapter,version,replicas,endpoints\n" + rows);
        return file.toString();
    }

    private static String text(ByteArrayOutputStream stream) {
        return stream.toString(StandardCharsets.UTF_8);
    }

    /** Administration interface of one host that can lose responses, report conflicts or refuse changes. */
    private static final class FakeHost implements HttpCalls {
        private final List<String> requests = new ArrayList<>();
        private final List<String> changeIds = new ArrayList<>();
        private int lostResponses;
        private int remainingConflicts;
        private boolean sheetChangesOnConflict;
        private boolean refusesChanges;
        private boolean unreachable;
        private String refusedPath = "changes[0].organisation";
        private long revision;
        private String lastChangeId = "none";
        private int sheetRows;

        @Override
        public AdminResponse call(
                String method, URI uri, Map<String, String> headers, byte[] body, long timeoutMillis) {
            requests.add(method + " " + uri.getPath() + " " + (body == null ? "" : new String(body)));
            return method.equals("GET") ? get(uri) : change(headers);
        }

        private AdminResponse get(URI uri) {
            if (uri.getPath().endsWith("/audit")) {
                return new AdminResponse(200, null, Json.write(List.of(lastChange())));
            }
            FleetConfiguration empty = FleetConfiguration.empty();
            FleetConfiguration configuration = new FleetConfiguration(
                    revision,
                    null,
                    null,
                    null,
                    null,
                    null,
                    null,
                    Collections.nCopies(sheetRows, new SheetRow(new Artifact("x", null, "1"), 1, List.of())),
                    empty.placements());
            return new AdminResponse(200, null, Json.write(configuration));
        }

        private AdminResponse change(Map<String, String> headers) {
            changeIds.add(headers.get("X-Change-Id"));
            if (unreachable) {
                throw new NoResponseException("No response", true, null);
            }
            if (refusesChanges) {
                return new AdminResponse(
                        422,
                        null,
                        ("{\"faults\":[{\"path\":\"" + refusedPath + "\",\"reason\":\"does not exist\"}]}").getBytes());
            }
            if (remainingConflicts > 0) {
                remainingConflicts--;
                revision++;
                sheetRows += sheetChangesOnConflict ? 1 : 0;
                return new AdminResponse(409, null, new byte[0]);
            }
            if (!headers.get("If-Match").equals("\"" + revision + "\"")) {
                return new AdminResponse(409, null, new byte[0]);
            }
            revision++;
            lastChangeId = headers.get("X-Change-Id");
            if (lostResponses > 0) {
                lostResponses--;
                throw new NoResponseException("No response", true, null);
            }
            return new AdminResponse(200, Long.toString(revision), new byte[0]);
        }

        private ChangeRecord lastChange() {
            return new ChangeRecord(lastChangeId, revision, 0, "ann", "", "", null, null, true);
        }
    }
}
