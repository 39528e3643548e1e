package org.gooseberryring.host.entry;

import java.util.function.Consumer;

import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.host.caller.OpenRequest;
import org.gooseberryring.host.caller.RemoteEffects;

/**
 * Effects of the engine that need other hosts.
 *
 * <p>Its callers give no idempotency keys, and its endpoints stop a request when its connection closes.
 */
final class EntryRemoteEffects implements RemoteEffects {
    private static final String NO_KEYS = "no request of an entry host carries an idempotency key";

    private final Consumer<RequestEffect.SpreadQuarantine> notices;

    /** Creates the links; {@code notices} tells the other hosts about a request that crashes endpoints. */
    EntryRemoteEffects(Consumer<RequestEffect.SpreadQuarantine> notices) {
        this.notices = notices;
    }

    @Override
    public void claim(OpenRequest request, RequestEffect.Claim claim) {
        throw new IllegalStateException(NO_KEYS);
    }

    @Override
    public void settle(OpenRequest request, RequestEffect.SettleClaim settle) {
        throw new IllegalStateException(NO_KEYS);
    }

    @Override
    public void replay(OpenRequest request) {
        throw new IllegalStateException(NO_KEYS);
    }

    @Override
    public void spreadQuarantine(RequestEffect.SpreadQuarantine quarantine) {
        notices.accept(quarantine);
    }

    @Override
    public void cancelAtEngine(String address, String requestId) {
        // The closed connection cancels the request.
    }
}
