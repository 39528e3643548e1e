package org.gooseberryring.coordination.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

import org.gooseberryring.state.Change;
import org.gooseberryring.state.ChangeRecord;
import org.gooseberryring.state.FleetConfiguration;

/** Creates the audit record of a change: what was changed, and the values before and after. */
final class AuditRecords {
    /** Maximum length of a text field. The head document contains up to 64 records in its at most 900,000 bytes. */
    private static final int MAX_FIELD_LENGTH = 400;

    private static final String ELLIPSIS = "...";

    private final DocumentCodec codec;

    AuditRecords(DocumentCodec codec) {
        this.codec = codec;
    }

    ChangeRecord accepted(ChangeSubmission submission, FleetConfiguration before, FleetConfiguration after) {
        SortedMap<String, Object> oldValues = new TreeMap<>();
        SortedMap<String, Object> newValues = new TreeMap<>();
        collectDifferences("organisations", before.organisations(), after.organisations(), oldValues, newValues);
        collectDifferences("keys", before.keys(), after.keys(), oldValues, newValues);
        collectDifferences("models", before.models(), after.models(), oldValues, newValues);
        collectDifferences("services", before.services(), after.services(), oldValues, newValues);
        collectDifferences("failureDomains", before.failureDomains(), after.failureDomains(), oldValues, newValues);
        collectDifferences("endpoints", before.endpoints(), after.endpoints(), oldValues, newValues);
        collectDifferences("placements", before.placements(), after.placements(), oldValues, newValues);
        if (!before.sheet().equals(after.sheet())) {
            oldValues.put("sheet", before.sheet());
            newValues.put("sheet", after.sheet());
        }
        return record(submission, after.revision(), codec.describe(oldValues), codec.describe(newValues), true);
    }

    ChangeRecord refused(ChangeSubmission submission, long currentRevision, String reason) {
        return record(submission, currentRevision, "", reason, false);
    }

    private static ChangeRecord record(
            ChangeSubmission s, long revision, String before, String after, boolean accepted) {
        return new ChangeRecord(
                s.changeId(),
                revision,
                s.wallMillis(),
                truncate(s.actor()),
                truncate(s.cause()),
                truncate(summary(s.changes())),
                truncate(before),
                truncate(after),
                accepted);
    }

    private static String summary(List<Change> changes) {
        List<String> kinds = new ArrayList<>();
        for (Change change : changes) {
            kinds.add(change == null ? "nothing" : change.getClass().getSimpleName());
        }
        return changes.size() + " changes: " + String.join(" ", kinds);
    }

    private static <V> void collectDifferences(
            String kind,
            Map<String, V> before,
            Map<String, V> after,
            Map<String, Object> oldValues,
            Map<String, Object> newValues) {
        before.forEach((id, value) -> {
            if (!Objects.equals(value, after.get(id))) {
                oldValues.put(kind + "/" + id, value);
            }
        });
        after.forEach((id, value) -> {
            if (!Objects.equals(value, before.get(id))) {
                newValues.put(kind + "/" + id, value);
            }
        });
    }

    private static String truncate(String text) {
        if (text == null || text.length() <= MAX_FIELD_LENGTH) {
            return text;
        }
        return text.substring(0, MAX_FIELD_LENGTH - ELLIPSIS.length()) + ELLIPSIS;
    }
}
