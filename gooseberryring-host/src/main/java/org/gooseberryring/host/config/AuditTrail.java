package org.gooseberryring.host.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.ChangeRecord;
import org.gooseberryring.transport.store.ObjectStore;

/**
 * Audit records of accepted changes, in pages by revision.
 *
 * <p>The newest record is part of the configuration object itself. It is copied to its page before the next change
 * replaces it, so the trail has no gap whatever fails in between.
 */
public final class AuditTrail {
    /** Revisions on one page; a page of 100 records with their values stays below the 1 MB of an object. */
    static final int PAGE = 100;

    private static final String KEY_PREFIX = "audit/";
    private static final int MAX_ATTEMPTS = 5;

    private final ObjectStore store;

    public AuditTrail(ObjectStore store) {
        this.store = store;
    }

    /**
     * Makes sure that a record is on its page.
     *
     * @return what became of the last call to the store; OK if the record is there
     */
    public StoreOutcome keep(ChangeRecord change) {
        String key = KEY_PREFIX + change.revision() / PAGE;
        StoreOutcome outcome = StoreOutcome.CONFLICT;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            StoreReply page = store.read(key);
            if (page.outcome() != StoreOutcome.OK && page.outcome() != StoreOutcome.ABSENT) {
                return page.outcome();
            }
            List<ChangeRecord> records = records(page);
            if (records.stream().anyMatch(r -> r.revision() == change.revision())) {
                return StoreOutcome.OK;
            }
            records.add(change);
            outcome = store.put(key, page.version(), Json.write(records)).outcome();
            if (outcome == StoreOutcome.OK || outcome == StoreOutcome.UNAVAILABLE) {
                return outcome;
            }
        }
        return outcome;
    }

    /**
     * Returns records with a revision above the given one, oldest first, from one page.
     *
     * @param newest record that is not on a page yet, or null
     * @return records, empty if there are none; null if the store is not available
     */
    public List<ChangeRecord> after(long revision, ChangeRecord newest) {
        List<ChangeRecord> found = new ArrayList<>();
        long last = newest == null ? revision : newest.revision();
        for (long page = (revision + 1) / PAGE; page <= last / PAGE && found.isEmpty(); page++) {
            StoreReply reply = store.read(KEY_PREFIX + page);
            if (reply.outcome() != StoreOutcome.OK && reply.outcome() != StoreOutcome.ABSENT) {
                return null;
            }
            records(reply).stream().filter(r -> r.revision() > revision).forEach(found::add);
        }
        boolean missing = newest != null
                && newest.revision() > revision
                && found.stream().noneMatch(r -> r.revision() >= newest.revision());
        if (missing
                && (found.isEmpty() || newest.revision() / PAGE == found.get(0).revision() / PAGE)) {
            found.add(newest);
        }
        return found;
    }

    private static List<ChangeRecord> records(StoreReply page) {
        return page.outcome() == StoreOutcome.OK
                ? new ArrayList<>(Arrays.asList(Json.read(page.value(), ChangeRecord[].class)))
                : new ArrayList<>();
    }
}
