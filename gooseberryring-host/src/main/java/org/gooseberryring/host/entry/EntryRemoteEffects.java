package org.gooseberryring.host.entry;

import java.util.function.Consumer;

import org.gooseberryring.coordination.crash.PartEvent;
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
    private final Consumer<PartEvent> partNotifier;

    /**
     * Creates the effects.
     *
     * @param quarantineNotifier notifies the other hosts of a request that crashes endpoints
     * @param partNotifier notifies the other hosts of an observation about prompt parts
     */
    EntryRemoteEffects(Consumer<RequestEffect.SpreadQuarantine> quarantineNotifier, Consumer<PartEvent> partNotifier) {
        this.quarantineNotifier = quarantineNotifier;
        this.partNotifier = partNotifier;
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
    public void spreadPartEvent(PartEvent event) {
        partNotifier.accept(event);
    }

    @Override
    public void cancelAtEngine(String address, String requestId) {
        // Closing the connection cancels the request.
    }
}
