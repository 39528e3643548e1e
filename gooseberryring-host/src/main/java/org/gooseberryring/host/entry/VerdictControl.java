package org.gooseberryring.host.entry;

import java.util.List;

import org.gooseberryring.coordination.crash.PartVerdict;
import org.gooseberryring.coordination.crash.StoredVerdicts;
import org.gooseberryring.coordination.membership.Rendezvous;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.control.StoreCallExecutor;

/** Reads the verdicts on prompt parts from the store and writes those that it lacks, on the control thread. */
final class VerdictControl {
    private static final String KEY = "verdicts/prompt-parts";
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
    private final StoredVerdicts stored = new StoredVerdicts(KEY, new JsonVerdictCodec());

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
        epochs.onChange((epoch, now) -> stored.onStoreRestored());
    }

    /** Makes the store call that is due. */
    void tick(long now) {
        List<PartVerdict> verdicts = exchange.verdicts();
        boolean isWriter =
                !verdicts.isEmpty() && Rendezvous.isFirstAlive(hostId, exchange.ages(now), LIVE_MILLIS, WRITER_ROLE);
        StoreRequest request = stored.next(verdicts, isWriter, now);
        if (request != null) {
            storeExecutor.submit(
                    request,
                    reply -> control.put(at -> {
                        epochs.observe(reply, at);
                        List<PartVerdict> read = stored.onReply(epochs.rejectOutdated(reply), at);
                        requests.onPartsReported(STORE, List.of(), read);
                    }));
        }
    }
}
