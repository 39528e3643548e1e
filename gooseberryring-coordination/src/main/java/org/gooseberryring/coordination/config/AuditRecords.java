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

/** Writes the audit record of a change: what was changed, and the values before and after. */
final class AuditRecords {
    /** Longest text of one field. The head document keeps up to 64 records within its 900,000 bytes. */
    private static final int MAX_TEXT = 400;

    private static final String ELLIPSIS = "...";

    private final DocumentCodec codec;

    AuditRecords(DocumentCodec codec) {
        this.codec = codec;
    }

    ChangeRecord accepted(ChangeSubmission submission, FleetConfiguration before, FleetConfiguration after) {
        SortedMap<String, Object> old = new TreeMap<>();
        SortedMap<String, Object> now = new TreeMap<>();
        diff("organisations", before.organisations(), after.organisations(), old, now);
        diff("keys", before.keys(), after.keys(), old, now);
        diff("models", before.models(), after.models(), old, now);
        diff("services", before.services(), after.services(), old, now);
        diff("failureDomains", before.failureDomains(), after.failureDomains(), old, now);
        diff("endpoints", before.endpoints(), after.endpoints(), old, now);
        diff("placements", before.placements(), after.placements(), old, now);
        if (!before.sheet().equals(after.sheet())) {
            old.put("sheet", before.sheet());
            now.put("sheet", after.sheet());
        }
        return record(submission, after.revision(), codec.describe(old), codec.describe(now), true);
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
                limit(s.actor()),
                limit(s.cause()),
                limit(summary(s.changes())),
                limit(before),
                limit(after),
                accepted);
    }

    private static String summary(List<Change> changes) {
        List<String> kinds = new ArrayList<>();
        for (Change change : changes) {
            kinds.add(change == null ? "nothing" : change.getClass().getSimpleName());
        }
        return changes.size() + " changes: " + String.join(" ", kinds);
    }

    private static <V> void diff(
            String kind,
            Map<String, V> before,
            Map<String, V> after,
            Map<String, Object> old,
            Map<String, Object> now) {
        before.forEach((id, value) -> {
            if (!Objects.equals(value, after.get(id))) {
                old.put(kind + "/" + id, value);
            }
        });
        after.forEach((id, value) -> {
            if (!Objects.equals(value, before.get(id))) {
                now.put(kind + "/" + id, value);
            }
        });
    }

    private static String limit(String text) {
        if (text == null || text.length() <= MAX_TEXT) {
            return text;
        }
        return text.substring(0, MAX_TEXT - ELLIPSIS.length()) + ELLIPSIS;
    }
}
