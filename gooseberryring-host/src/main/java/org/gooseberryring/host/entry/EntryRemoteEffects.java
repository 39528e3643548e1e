package org.gooseberryring.host.entry;

import java.util.function.Consumer;

import org.gooseberryring.coordination.crash.PartEvent;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.stream.StreamRecord;
import org.gooseberryring.host.caller.OpenRequest;
import org.gooseberryring.host.caller.RemoteEffects;

/**
 * Carries out effects of the request engine that concern other hosts.
 *
 * <p>Callers of an entry host send no idempotency keys, and endpoints cancel a request when its connection closes.
 */
final class EntryRemoteEffects implements RemoteEffects {
    private static final String NO_KEYS = "Requests of an entry host have no idempotency key";

    private final Consumer<RequestEffect.SpreadRequestCrash> crashNotifier;
    private final Consumer<PartEvent> partNotifier;
    private final Consumer<StreamRecord> streamNotifier;
    private final Runnable streamReader;

    /**
     * Creates the effects.
     *
     * @param crashNotifier notifies the other hosts of a request that crashes endpoints
     * @param partNotifier notifies the other hosts of an observation about prompt parts
     * @param streamNotifier notifies the other hosts of a stream that broke off
     * @param streamReader reads the streams of other hosts from the store
     */
    EntryRemoteEffects(
            Consumer<RequestEffect.SpreadRequestCrash> crashNotifier,
            Consumer<PartEvent> partNotifier,
            Consumer<StreamRecord> streamNotifier,
            Runnable streamReader) {
        this.crashNotifier = crashNotifier;
        this.partNotifier = partNotifier;
        this.streamNotifier = streamNotifier;
        this.streamReader = streamReader;
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
    public void spreadRequestCrash(RequestEffect.SpreadRequestCrash effect) {
        crashNotifier.accept(effect);
    }

    @Override
    public void spreadPartEvent(PartEvent event) {
        partNotifier.accept(event);
    }

    @Override
    public void spreadStream(StreamRecord stream) {
        streamNotifier.accept(stream);
    }

    @Override
    public void readStreams() {
        streamReader.run();
    }

    @Override
    public void cancelAtEngine(String address, String requestId) {
        // Closing the connection cancels the request.
    }
}
