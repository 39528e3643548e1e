package org.gooseberryring.host.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.gooseberryring.coordination.config.ChangeCommitter;
import org.gooseberryring.coordination.config.ChangeSubmission;
import org.gooseberryring.coordination.config.CommitEffect;
import org.gooseberryring.coordination.config.CommitResult;
import org.gooseberryring.coordination.config.ConfigurationEditor;
import org.gooseberryring.coordination.config.DocumentCodec;
import org.gooseberryring.coordination.config.EditResult;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.host.HostClock;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.ChangeRecord;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.transport.store.ObjectStore;

/** Commits changes to the configuration; blocks the calling thread for the duration of several store calls. */
public final class ConfigurationChanger {
    private final ObjectStore store;
    private final ConfigurationEditor editor;
    private final DocumentCodec codec;
    private final HostClock clock;
    private final Consumer<CommitResult.Committed> commitListener;
    private final Consumer<ChangeRecord> auditListener;
    private final CountDownLatch stopped = new CountDownLatch(1);

    /**
     * Creates a changer.
     *
     * @param commitListener is notified of each change committed to the store
     * @param auditListener receives the record of each change, accepted or rejected
     */
    public ConfigurationChanger(
            ObjectStore store,
            ConfigurationEditor editor,
            DocumentCodec codec,
            HostClock clock,
            Consumer<CommitResult.Committed> commitListener,
            Consumer<ChangeRecord> auditListener) {
        this.store = store;
        this.editor = editor;
        this.codec = codec;
        this.clock = clock;
        this.commitListener = commitListener;
        this.auditListener = auditListener;
    }

    /** Commits a change and returns the result. */
    public CommitResult change(ChangeSubmission submission) throws InterruptedException {
        ChangeCommitter committer =
                new ChangeCommitter(submission, editor, codec, new SplittableRandom(clock.wallMillis()));
        Deque<CommitEffect> effects = new ArrayDeque<>(committer.start(clock.now()));
        while (!effects.isEmpty()) {
            CommitEffect effect = effects.poll();
            if (effect instanceof CommitEffect.Call call) {
                effects.addAll(committer.onReply(call(call.request()), clock.now()));
            } else if (effect instanceof CommitEffect.WakeAt wake) {
                stopped.await(wake.millis() - clock.now(), TimeUnit.MILLISECONDS);
                effects.addAll(committer.onTimer(clock.now()));
            } else if (effect instanceof CommitEffect.Audit record) {
                auditListener.accept(record.record());
            } else if (effect instanceof CommitEffect.Done done) {
                return finish(done.result());
            }
        }
        return new CommitResult.Unresolved();
    }

    /** Returns the result that the changes would have, without committing them. */
    public EditResult preview(FleetConfiguration base, List<Change> changes) {
        return editor.apply(base, changes);
    }

    private CommitResult finish(CommitResult result) {
        if (result instanceof CommitResult.Committed done) {
            commitListener.accept(done);
        }
        return result;
    }

    private StoreReply call(StoreRequest request) {
        return request instanceof StoreRequest.Put put
                ? store.put(put.key(), put.expectedVersion(), put.value())
                : store.read(request.key());
    }
}
