package org.gooseberryring.coordination.config;

import java.util.ArrayList;

import org.gooseberryring.state.ApiKey;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.Organisation;

/** Applies changes of organisations and their keys. */
final class OrganisationChanges {
    private static final String KIND = "organisation";
    private static final String BAD_ID = "must be 1 to 128 letters, digits, dots, hyphens or underscores";

    private OrganisationChanges() {}

    static void put(MutableConfiguration draft, Change.PutOrganisation change) {
        Organisation o = change.organisation();
        String path = draft.path() + ".organisation";
        if (!draft.check(o != null, path, "is missing")
                || !draft.check(FormatValidator.isId(o.id()), path + ".id", BAD_ID)
                || !draft.touch(KIND, o.id())) {
            return;
        }
        draft.check(o.rateTokensPerSecond() >= 0, path + ".rateTokensPerSecond", "must not be negative");
        draft.check(o.burstTokens() >= 0, path + ".burstTokens", "must not be negative");
        draft.organisations().put(o.id(), o);
    }

    /** Removes an organisation; its keys stay as withdrawn, so that they can never be issued again. */
    static void remove(MutableConfiguration draft, Change.RemoveOrganisation change) {
        String path = draft.path() + ".id";
        if (!draft.touch(KIND, change.id())
                || !draft.check(
                        change.id() != null && draft.organisations().containsKey(change.id()),
                        path,
                        "organisation " + change.id() + " does not exist")) {
            return;
        }
        draft.organisations().remove(change.id());
        for (ApiKey key : new ArrayList<>(draft.keys().values())) {
            if (key.organisation().equals(change.id())) {
                draft.keys().put(key.digest(), withdrawn(key));
            }
        }
    }

    static void issueKey(MutableConfiguration draft, Change.IssueKey change) {
        String path = draft.path();
        if (!draft.check(
                FormatValidator.isDigest(change.digest()),
                path + ".digest",
                "must be 64 lower-case hexadecimal digits")) {
            return;
        }
        ApiKey present = draft.keys().get(change.digest());
        if (present != null) {
            draft.fault(
                    path + ".digest",
                    present.withdrawn() ? "key was withdrawn and cannot be issued again" : "key exists already");
            return;
        }
        draft.later(() -> draft.check(
                change.organisation() != null && draft.organisations().containsKey(change.organisation()),
                path + ".organisation",
                "organisation " + change.organisation() + " does not exist"));
        String owner = change.organisation() == null ? "" : change.organisation();
        draft.keys().put(change.digest(), new ApiKey(change.digest(), owner, change.label(), false));
    }

    static void withdrawKey(MutableConfiguration draft, Change.WithdrawKey change) {
        ApiKey key = change.digest() == null ? null : draft.keys().get(change.digest());
        if (draft.check(key != null, draft.path() + ".digest", "key does not exist")) {
            draft.keys().put(key.digest(), withdrawn(key));
        }
    }

    private static ApiKey withdrawn(ApiKey key) {
        return new ApiKey(key.digest(), key.organisation(), key.label(), true);
    }
}
