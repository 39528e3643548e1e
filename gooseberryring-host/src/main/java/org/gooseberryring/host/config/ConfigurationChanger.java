package org.gooseberryring.host.config;

import java.util.List;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import org.gooseberryring.coordination.config.EditResult;
import org.gooseberryring.coordination.config.Fault;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.protocol.ChangeRequest;
import org.gooseberryring.protocol.ConfigurationDocument;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.ChangeRecord;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.transport.store.ObjectStore;

/** Makes changes to the configuration by one conditional update of its object. */
public final class ConfigurationChanger {
    // The store refuses values above 1 MB; the margin leaves room for the audit record of the next change.
    private static final int MAX_HEAD_BYTES = 900_000;
    private static final int MAX_SUMMARY_CHARS = 500;
    private static final int MAX_VALUE_CHARS = 4000;
    private static final int MAX_PUTS = 3;

    private final ObjectStore store;
    private final ConfigurationHolder holder;
    private final AuditTrail audit;
    private final BiFunction<FleetConfiguration, List<Change>, EditResult> editor;
    private final LongSupplier wallClock;

    /**
     * Creates a changer.
     *
     * @param editor applies changes to a configuration, all or none
     * @param wallClock milliseconds since the Unix epoch, for audit records
     */
    public ConfigurationChanger(
            ObjectStore store,
            ConfigurationHolder holder,
            AuditTrail audit,
            BiFunction<FleetConfiguration, List<Change>, EditResult> editor,
            LongSupplier wallClock) {
        this.store = store;
        this.holder = holder;
        this.audit = audit;
        this.editor = editor;
        this.wallClock = wallClock;
    }

    /**
     * Makes changes, all or none.
     *
     * @param changeId identifier of the change; asking again with it never changes anything twice
     * @param expectedRevision revision that the author has seen
     * @param actor authenticated author
     */
    public ChangeOutcome change(String changeId, long expectedRevision, String actor, ChangeRequest request) {
        Head head = read();
        if (head == null) {
            return new ChangeOutcome.Unavailable();
        }
        if (head.carries(changeId)) {
            return new ChangeOutcome.Applied(head.revision());
        }
        if (head.revision() != expectedRevision) {
            ChangeOutcome earlier = earlier(changeId, expectedRevision, head);
            return earlier == null ? new ChangeOutcome.Conflict(head.revision()) : earlier;
        }
        EditResult result = editor.apply(head.configuration(), request.changes());
        if (result instanceof EditResult.Refused refused) {
            return new ChangeOutcome.Invalid(refused.faults());
        }
        FleetConfiguration next = ((EditResult.Accepted) result).configuration();
        ChangeRecord change = describe(changeId, actor, request, head, next);
        byte[] document = Json.write(new ConfigurationDocument(next, change));
        if (document.length > MAX_HEAD_BYTES) {
            String reason = "the configuration would take " + document.length + " bytes, more than " + MAX_HEAD_BYTES;
            return new ChangeOutcome.Invalid(List.of(new Fault("changes", reason)));
        }
        if (head.lastChange() != null && audit.keep(head.lastChange()) != StoreOutcome.OK) {
            return new ChangeOutcome.Unavailable();
        }
        return write(head, changeId, next.revision(), document);
    }

    /** Returns what a list of changes would lead to, without making them. */
    public EditResult preview(List<Change> changes) {
        return editor.apply(holder.current(), changes);
    }

    private ChangeOutcome write(Head head, String changeId, long revision, byte[] document) {
        boolean inDoubt = false;
        for (int i = 0; i < MAX_PUTS; i++) {
            StoreReply reply = store.put(ConfigurationFollower.HEAD, head.version(), document);
            switch (reply.outcome()) {
                case OK -> {
                    holder.adopt(document, "change");
                    return new ChangeOutcome.Applied(revision);
                }
                case CONFLICT -> {
                    return afterConflict(changeId, head.revision(), inDoubt);
                }
                case UNKNOWN -> inDoubt = true;
                default -> {
                    if (!inDoubt) {
                        return new ChangeOutcome.Unavailable();
                    }
                }
            }
            // Repeating the same conditional write is safe: it can take effect once only.
            Head now = read();
            if (now != null && now.carries(changeId)) {
                holder.adopt(document, "change");
                return new ChangeOutcome.Applied(revision);
            }
        }
        return new ChangeOutcome.Unknown();
    }

    private ChangeOutcome afterConflict(String changeId, long before, boolean inDoubt) {
        Head now = read();
        if (now == null) {
            return inDoubt ? new ChangeOutcome.Unknown() : new ChangeOutcome.Conflict(before + 1);
        }
        if (now.carries(changeId)) {
            return new ChangeOutcome.Applied(now.revision());
        }
        ChangeOutcome earlier = inDoubt ? earlier(changeId, before, now) : null;
        return earlier == null ? new ChangeOutcome.Conflict(now.revision()) : earlier;
    }

    /** Looks for a change that took effect and was superseded since; null if there is none. */
    private ChangeOutcome earlier(String changeId, long expectedRevision, Head head) {
        if (head.revision() <= expectedRevision) {
            return null;
        }
        List<ChangeRecord> records = audit.after(expectedRevision, head.lastChange());
        if (records == null) {
            return new ChangeOutcome.Unknown();
        }
        return records.stream()
                .filter(r -> r.changeId().equals(changeId))
                .findFirst()
                .map(r -> new ChangeOutcome.Applied(r.revision()))
                .orElse(null);
    }

    private ChangeRecord describe(
            String changeId, String actor, ChangeRequest request, Head head, FleetConfiguration next) {
        String summary = request.changes().stream()
                .map(c -> c.getClass().getSimpleName())
                .collect(Collectors.joining(", "));
        return new ChangeRecord(
                changeId,
                next.revision(),
                wallClock.getAsLong(),
                actor,
                cut(request.cause(), MAX_SUMMARY_CHARS),
                cut(summary, MAX_SUMMARY_CHARS),
                "revision " + head.revision(),
                cut(Json.writeString(request.changes()), MAX_VALUE_CHARS),
                true);
    }

    private Head read() {
        StoreReply reply = store.read(ConfigurationFollower.HEAD);
        if (reply.outcome() == StoreOutcome.ABSENT) {
            return new Head(0, FleetConfiguration.empty(), null);
        }
        if (reply.outcome() != StoreOutcome.OK) {
            return null;
        }
        ConfigurationDocument document = Json.read(reply.value(), ConfigurationDocument.class);
        return new Head(reply.version(), document.configuration(), document.lastChange());
    }

    private static String cut(String text, int max) {
        return text == null || text.length() <= max ? text : text.substring(0, max);
    }

    private record Head(long version, FleetConfiguration configuration, ChangeRecord lastChange) {
        long revision() {
            return configuration.revision();
        }

        boolean carries(String changeId) {
            return lastChange != null && lastChange.changeId().equals(changeId);
        }
    }
}
