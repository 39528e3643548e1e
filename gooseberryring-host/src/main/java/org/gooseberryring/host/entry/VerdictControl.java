package org.gooseberryring.host.entry;

import java.util.List;

import org.gooseberryring.coordination.crash.PartVerdict;
import org.gooseberryring.coordination.crash.StoredCrash;
import org.gooseberryring.coordination.crash.StoredCrashes;
import org.gooseberryring.coordination.crash.StoredVerdicts;
import org.gooseberryring.coordination.membership.Rendezvous;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.control.StoreCallExecutor;

/**
 * Reads the verdicts on parts of requests, and the crashes that are evidence against whole requests, from the store, and
 * writes what it lacks, on the control thread.
 */
final class VerdictControl {
    private static final String VERDICTS_KEY = "verdicts/prompt-parts";
    private static final String CRASHES_KEY = "verdicts/crashes";
    private static final String WRITER_ROLE = "verdicts";

    /** Time since a host was last seen up to which it counts as alive. */
    private static final long LIVE_MILLIS = 1_000;

    /** Source of verdicts that were read from the store. */
    private static final String STORE = "store";

    private final String hostId;
    private final StoreCallExecutor storeExecutor;
    private final ControlLoop control;
    private final EntryRequests requests;
    private final PeerExchange exchange;
    private final StoreEpochs epochs;
    private final StoredVerdicts stored = new StoredVerdicts(VERDICTS_KEY, new JsonVerdictCodec());
    private final StoredCrashes storedCrashes = new StoredCrashes(CRASHES_KEY, new JsonCrashCodec());

    VerdictControl(
            String hostId,
            StoreCallExecutor storeExecutor,
            ControlLoop control,
            EntryRequests requests,
            PeerExchange exchange,
            StoreEpochs epochs) {
        this.hostId = hostId;
        this.storeExecutor = storeExecutor;
        this.control = control;
        this.requests = requests;
        this.exchange = exchange;
        this.epochs = epochs;
        epochs.onChange((epoch, now) -> {
            stored.onStoreRestored();
            storedCrashes.onStoreRestored();
        });
    }

    /** Makes the store calls that are due. */
    void tick(long now) {
        List<PartVerdict> verdicts = exchange.verdicts();
        List<StoredCrash> crashes = exchange.requestCrashes();
        boolean isWriter = (!verdicts.isEmpty() || !crashes.isEmpty())
                && Rendezvous.isFirstAlive(hostId, exchange.ages(now), LIVE_MILLIS, WRITER_ROLE);
        submit(
                stored.next(verdicts, isWriter, now),
                (reply, at) -> requests.onPartsReported(STORE, List.of(), stored.onReply(reply, at)));
        submit(
                storedCrashes.next(crashes, isWriter, now),
                (reply, at) -> requests.onCrashesRead(storedCrashes.onReply(reply, at)));
    }

    private void submit(StoreRequest request, ReplyHandler handler) {
        if (request != null) {
            storeExecutor.submit(
                    request,
                    reply -> control.put(at -> {
                        epochs.observe(reply, at);
                        handler.onReply(epochs.rejectOutdated(reply), at);
                    }));
        }
    }

    /** Handles the reply to a store call on the control thread. */
    @FunctionalInterface
    private interface ReplyHandler {
        void onReply(StoreReply reply, long now);
    }
}
