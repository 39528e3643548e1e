package org.gooseberryring.host.entry;

import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.host.caller.EffectLinks;
import org.gooseberryring.host.caller.OpenRequest;

/**
 * Effects of the engine that an entry host has no use for.
 *
 * <p>Its callers give no idempotency keys, and its endpoints stop a request when its connection closes.
 */
final class EntryLinks implements EffectLinks {
    @Override
    public void claim(OpenRequest request, RequestEffect.Claim claim) {
        throw new IllegalStateException("no request of an entry host carries an idempotency key");
    }

    @Override
    public void settle(OpenRequest request, RequestEffect.SettleClaim settle) {
        throw new IllegalStateException("no request of an entry host carries an idempotency key");
    }

    @Override
    public void replay(OpenRequest request) {
        throw new IllegalStateException("no request of an entry host carries an idempotency key");
    }

    @Override
    public void spread(RequestEffect.SpreadQuarantine quarantine) {
        // Losses are counted by each host for itself until the peers exchange them.
    }

    @Override
    public void cancelAtEngine(String address, String requestId) {
        // The closed connection cancels the request.
    }
}
