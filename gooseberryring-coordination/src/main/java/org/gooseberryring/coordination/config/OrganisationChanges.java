package org.gooseberryring.coordination.config;

import java.util.ArrayList;

import org.gooseberryring.state.ApiKey;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.Organisation;

/** Applies changes of organisations and their keys. */
final class OrganisationChanges {
    private static final String KIND = "organisation";
    private static final String INVALID_ID_MESSAGE = "must be 1 to 128 letters, digits, dots, hyphens or underscores";

    private OrganisationChanges() {}

    static void put(MutableConfiguration configuration, Change.PutOrganisation change) {
        Organisation o = change.organisation();
        String path = configuration.path() + ".organisation";
        if (!configuration.check(o != null, path, "is missing")
                || !configuration.check(FormatValidator.isId(o.id()), path + ".id", INVALID_ID_MESSAGE)
                || !configuration.markChanged(KIND, o.id())) {
            return;
        }
        configuration.check(o.rateTokensPerSecond() >= 0, path + ".rateTokensPerSecond", "must not be negative");
        configuration.check(o.burstTokens() >= 0, path + ".burstTokens", "must not be negative");
        configuration.organisations().put(o.id(), o);
    }

    /** Removes an organisation. Its keys are kept as withdrawn, so that they can never be issued again. */
    static void remove(MutableConfiguration configuration, Change.RemoveOrganisation change) {
        String path = configuration.path() + ".id";
        if (!configuration.markChanged(KIND, change.id())
                || !configuration.check(
                        change.id() != null && configuration.organisations().containsKey(change.id()),
                        path,
                        "organisation " + change.id() + " does not exist")) {
            return;
        }
        configuration.organisations().remove(change.id());
        for (ApiKey key : new ArrayList<>(configuration.keys().values())) {
            if (key.organisation().equals(change.id())) {
                configuration.keys().put(key.digest(), withdraw(key));
            }
        }
    }

    static void issueKey(MutableConfiguration configuration, Change.IssueKey change) {
        String path = configuration.path();
        if (!configuration.check(
                FormatValidator.isDigest(change.digest()),
                path + ".digest",
                "must be 64 lower-case hexadecimal digits")) {
            return;
        }
        ApiKey existing = configuration.keys().get(change.digest());
        if (existing != null) {
            configuration.addFault(
                    path + ".digest",
                    existing.withdrawn() ? "key was withdrawn and cannot be issued again" : "key already exists");
            return;
        }
        configuration.addReferenceCheck(() -> configuration.check(
                change.organisation() != null && configuration.organisations().containsKey(change.organisation()),
                path + ".organisation",
                "organisation " + change.organisation() + " does not exist"));
        String owner = change.organisation() == null ? "" : change.organisation();
        configuration.keys().put(change.digest(), new ApiKey(change.digest(), owner, change.label(), false));
    }

    static void withdrawKey(MutableConfiguration configuration, Change.WithdrawKey change) {
        ApiKey key = change.digest() == null ? null : configuration.keys().get(change.digest());
        if (configuration.check(key != null, configuration.path() + ".digest", "key does not exist")) {
            configuration.keys().put(key.digest(), withdraw(key));
        }
    }

    private static ApiKey withdraw(ApiKey key) {
        return new ApiKey(key.digest(), key.organisation(), key.label(), true);
    }
}
