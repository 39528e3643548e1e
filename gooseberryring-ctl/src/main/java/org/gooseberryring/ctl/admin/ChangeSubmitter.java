package org.gooseberryring.ctl.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;

import com.fasterxml.jackson.databind.JsonNode;
import org.gooseberryring.ctl.CtlException;
import org.gooseberryring.ctl.ExitCode;
import org.gooseberryring.protocol.ChangeRequest;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.FleetConfiguration;

/**
 * Submits changes so that each takes effect at most once.
 *
 * <p>All attempts carry one change id. A conflict that follows a lost answer may be the change's own doing, so the
 * audit trail is searched for the id before the conflict is believed.
 */
public final class ChangeSubmitter {
    private static final String CHANGES = "/admin/v1/changes";
    private static final String AUDIT = "/admin/v1/audit?after=";
    private static final int CONFLICT = 409;
    private static final int MAX_REBASES = 5;

    private final AdminClient client;

    public ChangeSubmitter(AdminClient client) {
        this.client = client;
    }

    /**
     * Submits changes and returns the revision that they produced.
     *
     * @param changeId identifier that all attempts carry
     * @param sameBasis whether the changes mean the same on a newer configuration, so that a conflict is retried
     * @throws CtlException if the changes were refused, conflict with another change, or no host answered
     */
    public long submit(
            ChangeRequest request, String changeId, BiPredicate<FleetConfiguration, FleetConfiguration> sameBasis) {
        FleetConfiguration basis = client.configuration();
        byte[] body = Json.write(request);
        for (int rebases = 0; ; rebases++) {
            long revision = basis.revision();
            AdminClient.Sent sent = client.send("POST", CHANGES, headers(changeId, revision), body);
            if (sent.answer().status() != CONFLICT) {
                return revision(AdminClient.accepted(sent.answer()));
            }
            if (sent.earlierMayHaveRun()) {
                Long applied = appliedRevision(changeId, revision);
                if (applied != null) {
                    return applied;
                }
            }
            FleetConfiguration now = client.configuration();
            if (rebases == MAX_REBASES || now.revision() <= revision || !sameBasis.test(basis, now)) {
                throw new CtlException(
                        ExitCode.CONFLICT,
                        "The configuration changed since revision " + revision + "; it is at revision " + now.revision()
                                + " now. Nothing was changed.");
            }
            basis = now;
        }
    }

    private Long appliedRevision(String changeId, long after) {
        for (JsonNode entry : records(client.get(AUDIT + after))) {
            boolean own = entry.path("changeId").asText().equals(changeId);
            if (own && entry.path("accepted").asBoolean()) {
                return entry.path("revision").asLong();
            }
        }
        return null;
    }

    /** Returns the records of an audit answer, which is a list or an object with the field {@code records}. */
    public static List<JsonNode> records(JsonNode answer) {
        List<JsonNode> records = new ArrayList<>();
        (answer.isArray() ? answer : answer.path("records")).forEach(records::add);
        return records;
    }

    private static Map<String, String> headers(String changeId, long revision) {
        return Map.of("Content-Type", "application/json", "X-Change-Id", changeId, "If-Match", "\"" + revision + "\"");
    }

    private static long revision(AdminResponse answer) {
        return answer.etag() != null
                ? Long.parseLong(answer.etag())
                : Json.readTree(answer.body()).path("revision").asLong();
    }
}
