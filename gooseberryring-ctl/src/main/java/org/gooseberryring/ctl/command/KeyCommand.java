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

/** Commands on the keys of callers. */
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
            String key = context.keys().get();
            String digest = KeyDigest.of(key);
            // If the answer is lost the key may exist; the digest is what it takes to withdraw it.
            context.console().error("event=key-created digest=" + digest);
            ChangeOptions.Done done = options.change(
                    context,
                    "The key with digest " + digest + " is issued",
                    List.of(new Change.IssueKey(digest, organisation, label)),
                    (before, now) -> true);
            if (options.admin().json()) {
                context.console().json(new IssuedKey(done.changeId(), done.revision(), digest, key));
            } else {
                options.print(context, done);
                context.console().print("key: " + key);
            }
            return ExitCode.DONE;
        }

        @Override
        public boolean help() {
            return options.admin().help();
        }
    }

    /** Withdraws a key. */
    @Parameters(commandDescription = "Withdraws a key for ever")
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
                throw new CtlException(ExitCode.BAD_INPUT, "No key was given");
            }
            String digest = DIGEST.matcher(value).matches() ? value : KeyDigest.of(value);
            return options.submit(
                    context,
                    "The key with digest " + digest + " is withdrawn",
                    List.of(new Change.WithdrawKey(digest)),
                    (before, now) -> true);
        }

        @Override
        public boolean help() {
            return options.admin().help();
        }
    }

    /** New key as JSON. */
    record IssuedKey(String changeId, long revision, String digest, String key) {}
}
