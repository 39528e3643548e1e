package org.gooseberryring.host.entry;

import java.util.Map;

import org.gooseberryring.coordination.limit.StoredLimitUse;
import org.gooseberryring.coordination.membership.Rendezvous;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.control.StoreCallExecutor;

/**
 * Reads from the store what earlier processes have used of the organisations' limits, and writes what this host and the
 * others have used, on the control thread.
 */
final class LimitUseControl {
    private static final String KEY = "limits/recent-use";
    private static final String WRITER_ROLE = "limits";

    /** Time between two looks at the use. */
    private static final long LOOK_MILLIS = 250;

    /** Time since a host was last seen up to which it counts as alive. */
    private static final long LIVE_MILLIS = 1_000;

    private final String hostId;
    private final StoreCallExecutor storeExecutor;
    private final ControlLoop control;
    private final EntryRequests requests;
    private final PeerExchange exchange;
    private final StoreEpochs epochs;
    private final StoredLimitUse stored;
    private Map<String, Long> excesses = Map.of();
    private long nextLookAt = Long.MIN_VALUE;

    LimitUseControl(
            EntrySettings settings,
            StoreCallExecutor storeExecutor,
            ControlLoop control,
            EntryRequests requests,
            PeerExchange exchange,
            StoreEpochs epochs) {
        this.hostId = settings.hostId();
        this.storeExecutor = storeExecutor;
        this.control = control;
        this.requests = requests;
        this.exchange = exchange;
        this.epochs = epochs;
        this.stored = new StoredLimitUse(KEY, new JsonLimitUseCodec(), settings.limitWindowMillis());
        epochs.onChange((epoch, now) -> stored.onStoreRestored());
    }

    /** Makes the store calls that are due. */
    void tick(long now) {
        if (now >= nextLookAt) {
            nextLookAt = now + LOOK_MILLIS;
            requests.limitExcesses(found -> control.offer(at -> excesses = found));
        }
        boolean isWriter = (!excesses.isEmpty() || stored.hasExcess())
                && Rendezvous.isFirstAlive(hostId, exchange.ages(now), LIVE_MILLIS, WRITER_ROLE);
        StoreRequest request = stored.next(excesses, isWriter, now);
        if (request != null) {
            storeExecutor.submit(request, reply -> control.put(at -> onReply(reply, at)));
        }
    }

    private void onReply(StoreReply reply, long now) {
        epochs.observe(reply, now);
        stored.onReply(epochs.rejectOutdated(reply), now).ifPresent(requests::onEarlierExcesses);
    }
}
