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
 * <p>All attempts carry the same change id. A conflict after a lost response may be caused by the change itself, if the
 * earlier attempt was applied. The audit trail is therefore searched for the id before the conflict is reported.
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
     * @param canRebase whether the changes still apply to a newer configuration, so that a conflict is retried
     * @throws CtlException if the changes are refused, conflict with another change, or no host responds
     */
    public long submit(
            ChangeRequest request, String changeId, BiPredicate<FleetConfiguration, FleetConfiguration> canRebase) {
        FleetConfiguration base = client.configuration();
        byte[] body = Json.write(request);
        for (int rebases = 0; ; rebases++) {
            long revision = base.revision();
            AdminClient.SendResult result = client.send("POST", CHANGES, headers(changeId, revision), body);
            if (result.response().status() != CONFLICT) {
                return revision(AdminClient.requireSuccess(result.response()));
            }
            if (result.earlierAttemptMayHaveRun()) {
                Long applied = appliedRevision(changeId, revision);
                if (applied != null) {
                    return applied;
                }
            }
            FleetConfiguration current = client.configuration();
            if (rebases == MAX_REBASES || current.revision() <= revision || !canRebase.test(base, current)) {
                throw new CtlException(
                        ExitCode.CONFLICT,
                        "The configuration changed since revision " + revision + "; the current revision is "
                                + current.revision() + ". Nothing was changed.");
            }
            base = current;
        }
    }

    private Long appliedRevision(String changeId, long afterRevision) {
        for (JsonNode entry : auditRecords(client.get(AUDIT + afterRevision))) {
            boolean sameChange = entry.path("changeId").asText().equals(changeId);
            if (sameChange && entry.path("accepted").asBoolean()) {
                return entry.path("revision").asLong();
            }
        }
        return null;
    }

    /** Returns the records of an audit response, which is a list or an object with the field {@code records}. */
    public static List<JsonNode> auditRecords(JsonNode response) {
        List<JsonNode> records = new ArrayList<>();
        (response.isArray() ? response : response.path("records")).forEach(records::add);
        return records;
    }

    private static Map<String, String> headers(String changeId, long revision) {
        return Map.of("Content-Type", "application/json", "X-Change-Id", changeId, "If-Match", "\"" + revision + "\"");
    }

    private static long revision(AdminResponse response) {
        return response.etag() != null
                ? Long.parseLong(response.etag())
                : Json.readTree(response.body()).path("revision").asLong();
    }
}
