package org.gooseberryring.coordination.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.retry.Backoff;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.state.ChangeRecord;

/**
 * Commits one administrative change by a conditional update of {@code config/head}.
 *
 * <p>Each accepted change produces exactly one revision. To resolve a write with an unknown outcome, the committer
 * reads the audit record of the revision that the write would have produced, from the head document or from the audit
 * page of that revision. While the head still has the version that the write expected, the same write is repeated. This
 * is safe: the store applies at most one of the two writes, and rejects any later write that expects the old version.
 */
public final class ChangeCommitter {
    /** Key of the configuration in the store. */
    public static final String HEAD_KEY = "config/head";

    /** Maximum size of the head document in bytes; the store accepts objects of up to 1 MB. */
    public static final int MAX_HEAD_BYTES = 900_000;

    private static final int MAX_RECENT_CHANGES = 2 * AuditPage.SIZE;
    private static final long MIN_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 5_000;
    private static final long RESOLVE_TIMEOUT_MILLIS = 60_000;

    private final ChangeSubmission submission;
    private final ConfigurationEditor editor;
    private final DocumentCodec codec;
    private final AuditRecords auditRecords;
    private final Backoff backoff;
    private State state = State.READING;
    private StoreRequest current = new StoreRequest.Read(HEAD_KEY);
    private HeadDocument base;
    private HeadDocument next;
    private long baseVersion;
    private HeadDocument latest;
    private long latestVersion;
    private boolean mayBeApplied;
    private long deadline;

    private enum State {
        READING,
        ARCHIVING,
        WRITING,
        RESOLVING,
        READING_PAGE,
        FINISHED
    }

    /** Creates a committer for one change. */
    public ChangeCommitter(
            ChangeSubmission submission, ConfigurationEditor editor, DocumentCodec codec, RandomGenerator random) {
        this.submission = submission;
        this.editor = editor;
        this.codec = codec;
        this.auditRecords = new AuditRecords(codec);
        this.backoff = new Backoff(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS, random);
    }

    /** Starts the commit. */
    public List<CommitEffect> start(long now) {
        deadline = now + RESOLVE_TIMEOUT_MILLIS;
        return callStore(State.READING, new StoreRequest.Read(HEAD_KEY));
    }

    /** Repeats the last store call after a retry delay. */
    public List<CommitEffect> onTimer(long now) {
        return state == State.FINISHED ? List.of() : List.of(new CommitEffect.Call(current));
    }

    /** Handles the reply to the last store call. */
    public List<CommitEffect> onReply(StoreReply reply, long now) {
        switch (state) {
            case READING:
                return onReadReply(reply);
            case ARCHIVING:
                return onArchiveReply(reply, now);
            case WRITING:
                return onWriteReply(reply, now);
            case RESOLVING:
                return onResolveReply(reply, now);
            case READING_PAGE:
                return onPageReply(reply, now);
            default:
                return List.of();
        }
    }

    private List<CommitEffect> onReadReply(StoreReply reply) {
        if (reply.outcome() != StoreOutcome.OK && reply.outcome() != StoreOutcome.ABSENT) {
            return finish(new CommitResult.Unavailable());
        }
        updateLatest(reply);
        base = latest;
        baseVersion = latestVersion;
        Optional<ChangeRecord> earlier = latest.recentChanges().stream()
                .filter(r -> r.changeId().equals(submission.changeId()))
                .findFirst();
        if (earlier.isPresent()) {
            return finishCommitted(earlier.get().revision());
        }
        long revision = latest.configuration().revision();
        if (submission.expectedRevision() != ChangeSubmission.ANY_REVISION
                && submission.expectedRevision() != revision) {
            return submission.expectedRevision() > revision ? finishConflict() : findRecord();
        }
        return applyChanges();
    }

    private List<CommitEffect> applyChanges() {
        EditResult result = editor.apply(base.configuration(), submission.changes());
        if (result instanceof EditResult.Refused refused) {
            return refuse(refused.faults());
        }
        EditResult.Accepted accepted = (EditResult.Accepted) result;
        List<ChangeRecord> recent = new ArrayList<>(base.recentChanges());
        boolean archive = recent.size() >= MAX_RECENT_CHANGES;
        if (archive) {
            recent.subList(0, AuditPage.SIZE).clear();
        }
        recent.add(auditRecords.accepted(submission, base.configuration(), accepted.configuration()));
        next = new HeadDocument(accepted.configuration(), recent);
        if (!archive) {
            return write();
        }
        AuditPage page = new AuditPage(base.recentChanges().subList(0, AuditPage.SIZE));
        String key = AuditPage.key(page.records().get(0).revision());
        return callStore(State.ARCHIVING, new StoreRequest.Put(key, StoreRequest.Put.ABSENT, codec.encodePage(page)));
    }

    /** Writes the head once the page exists. All writers of a page write the same content. */
    private List<CommitEffect> onArchiveReply(StoreReply reply, long now) {
        switch (reply.outcome()) {
            case OK:
            case CONFLICT:
                return write();
            case UNKNOWN:
                return now < deadline ? retry(now) : finish(new CommitResult.Unavailable());
            default:
                return finish(new CommitResult.Unavailable());
        }
    }

    private List<CommitEffect> write() {
        byte[] bytes = codec.encodeHead(next);
        if (bytes.length > MAX_HEAD_BYTES) {
            return refuse(List.of(new ChangeError(
                    "configuration",
                    "document size of " + bytes.length + " bytes exceeds the limit of " + MAX_HEAD_BYTES + " bytes")));
        }
        return callStore(State.WRITING, new StoreRequest.Put(HEAD_KEY, baseVersion, bytes));
    }

    private List<CommitEffect> onWriteReply(StoreReply reply, long now) {
        switch (reply.outcome()) {
            case OK:
                latest = next;
                latestVersion = reply.version();
                return finishCommitted(next.configuration().revision());
            case CONFLICT:
                return callStore(State.RESOLVING, new StoreRequest.Read(HEAD_KEY));
            case UNKNOWN:
                mayBeApplied = true;
                return resolveLater(now);
            default:
                return mayBeApplied ? resolveLater(now) : finish(new CommitResult.Unavailable());
        }
    }

    private List<CommitEffect> onResolveReply(StoreReply reply, long now) {
        if (reply.outcome() != StoreOutcome.OK && reply.outcome() != StoreOutcome.ABSENT) {
            return resolveLater(now);
        }
        updateLatest(reply);
        if (latestVersion > baseVersion) {
            return findRecord();
        }
        if (!mayBeApplied) {
            // The write conflicted, so a newer version exists and this read returned stale data.
            return resolveLater(now);
        }
        return now < deadline ? write() : finish(new CommitResult.Unresolved());
    }

    /** Searches for the audit record of the revision that this change would have produced. */
    private List<CommitEffect> findRecord() {
        long revision = targetRevision();
        List<ChangeRecord> recent = latest.recentChanges();
        if (recent.isEmpty() || recent.get(0).revision() > revision) {
            return callStore(State.READING_PAGE, new StoreRequest.Read(AuditPage.key(revision)));
        }
        return searchRecords(recent);
    }

    private List<CommitEffect> onPageReply(StoreReply reply, long now) {
        if (reply.outcome() == StoreOutcome.OK) {
            return searchRecords(codec.decodePage(reply.value()).records());
        }
        if (now < deadline) {
            return retry(now);
        }
        return finish(mayBeApplied ? new CommitResult.Unresolved() : new CommitResult.Unavailable());
    }

    private List<CommitEffect> searchRecords(List<ChangeRecord> records) {
        for (ChangeRecord record : records) {
            if (record.revision() == targetRevision() && record.changeId().equals(submission.changeId())) {
                return finishCommitted(record.revision());
            }
        }
        return finishConflict();
    }

    private long targetRevision() {
        return next == null
                ? submission.expectedRevision() + 1
                : next.configuration().revision();
    }

    private List<CommitEffect> resolveLater(long now) {
        if (now >= deadline) {
            return finish(mayBeApplied ? new CommitResult.Unresolved() : new CommitResult.Unavailable());
        }
        state = State.RESOLVING;
        current = new StoreRequest.Read(HEAD_KEY);
        return retry(now);
    }

    private List<CommitEffect> retry(long now) {
        return List.of(new CommitEffect.WakeAt(now + backoff.next()));
    }

    private List<CommitEffect> callStore(State nextState, StoreRequest request) {
        state = nextState;
        current = request;
        return List.of(new CommitEffect.Call(request));
    }

    private void updateLatest(StoreReply reply) {
        boolean absent = reply.outcome() == StoreOutcome.ABSENT;
        latest = absent ? HeadDocument.empty() : codec.decodeHead(reply.value());
        latestVersion = absent ? StoreRequest.Put.ABSENT : reply.version();
    }

    private List<CommitEffect> finishCommitted(long revision) {
        List<CommitEffect> effects = new ArrayList<>();
        latest.recentChanges().stream()
                .filter(r -> r.revision() == revision)
                .forEach(r -> effects.add(new CommitEffect.Audit(r)));
        effects.addAll(finish(new CommitResult.Committed(revision, latest, latestVersion)));
        return effects;
    }

    private List<CommitEffect> finishConflict() {
        long revision = latest.configuration().revision();
        return finishWithAudit("conflict with revision " + revision, revision, new CommitResult.Conflict(revision));
    }

    private List<CommitEffect> refuse(List<ChangeError> faults) {
        return finishWithAudit(faults.toString(), latest.configuration().revision(), new CommitResult.Refused(faults));
    }

    private List<CommitEffect> finishWithAudit(String reason, long revision, CommitResult result) {
        List<CommitEffect> effects = new ArrayList<>();
        effects.add(new CommitEffect.Audit(auditRecords.refused(submission, revision, reason)));
        effects.addAll(finish(result));
        return effects;
    }

    private List<CommitEffect> finish(CommitResult result) {
        state = State.FINISHED;
        return List.of(new CommitEffect.Done(result));
    }
}
