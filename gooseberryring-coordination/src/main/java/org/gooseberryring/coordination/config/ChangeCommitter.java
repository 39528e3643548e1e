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
 * <p>Each accepted change has exactly one revision. A write with an unknown outcome is resolved by looking at the
 * record of the revision that it would have produced, in the head document or in the audit page of that revision. As
 * long as the head still has the version that the write expected, the same write is sent again: a late first write and
 * the second one cannot both take effect, and after one of them no write that expects the old version can.
 */
public final class ChangeCommitter {
    /** Key of the configuration in the store. */
    public static final String HEAD_KEY = "config/head";

    /** Largest head document in bytes; the store takes objects of up to 1 MB. */
    public static final int MAX_HEAD_BYTES = 900_000;

    private static final int MAX_RECENT = 2 * AuditPage.SIZE;
    private static final long MIN_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 5_000;
    private static final long RESOLVE_MILLIS = 60_000;

    private final ChangeSubmission submission;
    private final ConfigurationEditor editor;
    private final DocumentCodec codec;
    private final AuditRecords digest;
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
        this.digest = new AuditRecords(codec);
        this.backoff = new Backoff(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS, random);
    }

    /** Starts the commit. */
    public List<CommitEffect> start(long now) {
        deadline = now + RESOLVE_MILLIS;
        return call(State.READING, new StoreRequest.Read(HEAD_KEY));
    }

    /** Sends the call that a retry was waiting for. */
    public List<CommitEffect> onTimer(long now) {
        return state == State.FINISHED ? List.of() : List.of(new CommitEffect.Call(current));
    }

    /** Handles the reply to the last call. */
    public List<CommitEffect> onReply(StoreReply reply, long now) {
        switch (state) {
            case READING:
                return onRead(reply);
            case ARCHIVING:
                return onArchived(reply, now);
            case WRITING:
                return onWritten(reply, now);
            case RESOLVING:
                return onResolving(reply, now);
            case READING_PAGE:
                return onPage(reply, now);
            default:
                return List.of();
        }
    }

    private List<CommitEffect> onRead(StoreReply reply) {
        if (reply.outcome() != StoreOutcome.OK && reply.outcome() != StoreOutcome.ABSENT) {
            return done(new CommitResult.Unavailable());
        }
        remember(reply);
        base = latest;
        baseVersion = latestVersion;
        Optional<ChangeRecord> earlier = latest.recentChanges().stream()
                .filter(r -> r.changeId().equals(submission.changeId()))
                .findFirst();
        if (earlier.isPresent()) {
            return committed(earlier.get().revision());
        }
        long revision = latest.configuration().revision();
        if (submission.expectedRevision() != ChangeSubmission.ANY_REVISION
                && submission.expectedRevision() != revision) {
            return submission.expectedRevision() > revision ? conflict() : locate();
        }
        return edit();
    }

    private List<CommitEffect> edit() {
        EditResult result = editor.apply(base.configuration(), submission.changes());
        if (result instanceof EditResult.Refused refused) {
            return refused(refused.faults());
        }
        EditResult.Accepted accepted = (EditResult.Accepted) result;
        List<ChangeRecord> recent = new ArrayList<>(base.recentChanges());
        boolean archive = recent.size() >= MAX_RECENT;
        if (archive) {
            recent.subList(0, AuditPage.SIZE).clear();
        }
        recent.add(digest.accepted(submission, base.configuration(), accepted.configuration()));
        next = new HeadDocument(accepted.configuration(), recent);
        if (!archive) {
            return write();
        }
        AuditPage page = new AuditPage(base.recentChanges().subList(0, AuditPage.SIZE));
        String key = AuditPage.key(page.records().get(0).revision());
        return call(State.ARCHIVING, new StoreRequest.Put(key, StoreRequest.Put.ABSENT, codec.encodePage(page)));
    }

    /** Goes on once the page exists; whoever wrote it wrote the same content. */
    private List<CommitEffect> onArchived(StoreReply reply, long now) {
        switch (reply.outcome()) {
            case OK:
            case CONFLICT:
                return write();
            case UNKNOWN:
                return now < deadline ? retry(now) : done(new CommitResult.Unavailable());
            default:
                return done(new CommitResult.Unavailable());
        }
    }

    private List<CommitEffect> write() {
        byte[] bytes = codec.encodeHead(next);
        if (bytes.length > MAX_HEAD_BYTES) {
            return refused(List.of(new ChangeError(
                    "configuration",
                    "the document would have " + bytes.length + " bytes; at most " + MAX_HEAD_BYTES + " are allowed")));
        }
        return call(State.WRITING, new StoreRequest.Put(HEAD_KEY, baseVersion, bytes));
    }

    private List<CommitEffect> onWritten(StoreReply reply, long now) {
        switch (reply.outcome()) {
            case OK:
                latest = next;
                latestVersion = reply.version();
                return committed(next.configuration().revision());
            case CONFLICT:
                return call(State.RESOLVING, new StoreRequest.Read(HEAD_KEY));
            case UNKNOWN:
                mayBeApplied = true;
                return resolveLater(now);
            default:
                return mayBeApplied ? resolveLater(now) : done(new CommitResult.Unavailable());
        }
    }

    private List<CommitEffect> onResolving(StoreReply reply, long now) {
        if (reply.outcome() != StoreOutcome.OK && reply.outcome() != StoreOutcome.ABSENT) {
            return resolveLater(now);
        }
        remember(reply);
        if (latestVersion > baseVersion) {
            return locate();
        }
        if (!mayBeApplied) {
            // The write conflicted, so this read is older than the write.
            return resolveLater(now);
        }
        return now < deadline ? write() : done(new CommitResult.Unresolved());
    }

    /** Looks for the record of the revision that this change would have produced. */
    private List<CommitEffect> locate() {
        long revision = wantedRevision();
        List<ChangeRecord> recent = latest.recentChanges();
        if (recent.isEmpty() || recent.get(0).revision() > revision) {
            return call(State.READING_PAGE, new StoreRequest.Read(AuditPage.key(revision)));
        }
        return decide(recent);
    }

    private List<CommitEffect> onPage(StoreReply reply, long now) {
        if (reply.outcome() == StoreOutcome.OK) {
            return decide(codec.decodePage(reply.value()).records());
        }
        if (now < deadline) {
            return retry(now);
        }
        return done(mayBeApplied ? new CommitResult.Unresolved() : new CommitResult.Unavailable());
    }

    private List<CommitEffect> decide(List<ChangeRecord> records) {
        for (ChangeRecord record : records) {
            if (record.revision() == wantedRevision() && record.changeId().equals(submission.changeId())) {
                return committed(record.revision());
            }
        }
        return conflict();
    }

    private long wantedRevision() {
        return next == null
                ? submission.expectedRevision() + 1
                : next.configuration().revision();
    }

    private List<CommitEffect> resolveLater(long now) {
        if (now >= deadline) {
            return done(mayBeApplied ? new CommitResult.Unresolved() : new CommitResult.Unavailable());
        }
        state = State.RESOLVING;
        current = new StoreRequest.Read(HEAD_KEY);
        return retry(now);
    }

    private List<CommitEffect> retry(long now) {
        return List.of(new CommitEffect.WakeAt(now + backoff.next()));
    }

    private List<CommitEffect> call(State nextState, StoreRequest request) {
        state = nextState;
        current = request;
        return List.of(new CommitEffect.Call(request));
    }

    private void remember(StoreReply reply) {
        boolean absent = reply.outcome() == StoreOutcome.ABSENT;
        latest = absent ? HeadDocument.empty() : codec.decodeHead(reply.value());
        latestVersion = absent ? StoreRequest.Put.ABSENT : reply.version();
    }

    private List<CommitEffect> committed(long revision) {
        List<CommitEffect> effects = new ArrayList<>();
        latest.recentChanges().stream()
                .filter(r -> r.revision() == revision)
                .forEach(r -> effects.add(new CommitEffect.Audit(r)));
        effects.addAll(done(new CommitResult.Committed(revision, latest, latestVersion)));
        return effects;
    }

    private List<CommitEffect> conflict() {
        long revision = latest.configuration().revision();
        return audited("conflict with revision " + revision, revision, new CommitResult.Conflict(revision));
    }

    private List<CommitEffect> refused(List<ChangeError> faults) {
        return audited(faults.toString(), latest.configuration().revision(), new CommitResult.Refused(faults));
    }

    private List<CommitEffect> audited(String reason, long revision, CommitResult result) {
        List<CommitEffect> effects = new ArrayList<>();
        effects.add(new CommitEffect.Audit(digest.refused(submission, revision, reason)));
        effects.addAll(done(result));
        return effects;
    }

    private List<CommitEffect> done(CommitResult result) {
        state = State.FINISHED;
        return List.of(new CommitEffect.Done(result));
    }
}
