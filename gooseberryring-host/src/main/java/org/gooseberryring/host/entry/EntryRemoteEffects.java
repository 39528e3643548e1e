package org.gooseberryring.host.entry;

import java.util.function.Consumer;

import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.host.caller.OpenRequest;
import org.gooseberryring.host.caller.RemoteEffects;

/**
 * Carries out effects of the request engine that concern other hosts.
 *
 * <p>Callers of an entry host send no idempotency keys, and endpoints cancel a request when its connection closes.
 */
final class EntryRemoteEffects implements RemoteEffects {
    private static final String NO_KEYS = "Requests of an entry host have no idempotency key";

    private final Consumer<RequestEffect.SpreadQuarantine> quarantineNotifier;

    /** Creates the effects; {@code quarantineNotifier} notifies the other hosts of a request that crashes endpoints. */
    EntryRemoteEffects(Consumer<RequestEffect.SpreadQuarantine> quarantineNotifier) {
        this.quarantineNotifier = quarantineNotifier;
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
        quarantineNotifier.accept(quarantine);
    }

    @Override
    public void cancelAtEngine(String address, String requestId) {
        // Closing the connection cancels the request.
    }
}
