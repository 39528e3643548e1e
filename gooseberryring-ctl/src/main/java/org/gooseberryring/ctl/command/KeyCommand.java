package org.gooseberryring.ctl.command;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.state.Change;

/** Commands that manage the keys of callers. */
final class KeyCommand {
    private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

    private KeyCommand() {}

    /** Issues a key. */
    @Parameters(commandDescription = "Issues a key and prints it once; only its digest is sent and stored")
    static final class Issue implements Command {
        @ParametersDelegate
        private ChangeOptions options = new ChangeOptions();

        @Parameter(names = "--label", required = true, description = "Name of the key shown to operators")
        private String label;

        @Parameter(description = "ORGANISATION", required = true)
        private String organisation;

        @Override
        public ExitCode run(Context context) {
            String key = context.keySupplier().get();
            String digest = KeyDigest.of(key);
            // The key may exist even if the response is lost. The digest is needed to withdraw it.
            context.console().printError("event=key-created digest=" + digest);
            ChangeOptions.ChangeResult result = options.submit(
                    context,
                    "The key with digest " + digest + " was issued",
                    List.of(new Change.IssueKey(digest, organisation, label)),
                    (before, now) -> true);
            if (options.admin().isJson()) {
                context.console().printJson(new IssuedKey(result.changeId(), result.revision(), digest, key));
            } else {
                options.print(context, result);
                context.console().print("key: " + key);
            }
            return ExitCode.DONE;
        }

        @Override
        public boolean isHelpRequested() {
            return options.admin().isHelpRequested();
        }
    }

    /** Withdraws a key. */
    @Parameters(commandDescription = "Withdraws a key permanently")
    static final class Withdraw implements Command {
        @ParametersDelegate
        private ChangeOptions options = new ChangeOptions();

        @Parameter(description = "DIGEST_OR_KEY (- reads it from standard input)", required = true)
        private String digestOrKey;

        @Override
        public ExitCode run(Context context) {
            String value = "-".equals(digestOrKey)
                    ? new String(InputFile.read("-"), StandardCharsets.UTF_8).strip()
                    : digestOrKey;
            if (value.isEmpty()) {
                throw new CtlException(ExitCode.BAD_INPUT, "Neither a key nor a digest was given");
            }
            String digest = DIGEST.matcher(value).matches() ? value : KeyDigest.of(value);
            return options.submitAndPrint(
                    context,
                    "The key with digest " + digest + " was withdrawn",
                    List.of(new Change.WithdrawKey(digest)),
                    (before, now) -> true);
        }

        @Override
        public boolean isHelpRequested() {
            return options.admin().isHelpRequested();
        }
    }

    /** New key as JSON. */
    record IssuedKey(String changeId, long revision, String digest, String key) {}
}
