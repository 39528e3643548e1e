package org.gooseberryring.host.caller;

import java.util.function.Consumer;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.state.Verdict;
import org.gooseberryring.transport.endpoint.AttemptListener;
import org.gooseberryring.transport.endpoint.EndpointSignals;

/** Listener for an attempt that this host makes for another one, which handles its response. */
final class PassThroughListener implements AttemptListener {
    private final Consumer<EndpointSignals> signals;
    private final EndHandler handler;

    /** Handles the end of an attempt. */
    @FunctionalInterface
    interface EndHandler {
        /**
         * Called once.
         *
         * @param verdict whether the request may have run
         * @param lost whether the connection to the endpoint broke or could not be opened
         * @param bytesPassedOn whether any byte of the response was passed on
         */
        void onEnded(Verdict verdict, boolean lost, boolean bytesPassedOn);
    }

    PassThroughListener(Consumer<EndpointSignals> signals, EndHandler handler) {
        this.signals = signals;
        this.handler = handler;
    }

    @Override
    public void onSignalsReceived(EndpointSignals received) {
        signals.accept(received);
    }

    @Override
    public void onResponseStarted() {
        // The host that sent the request sees the response itself.
    }

    @Override
    public void onAttemptEnded(AttemptOutcome outcome, byte[] recorded) {
        handler.onEnded(outcome.verdict(), outcome.endpointLost(), outcome.bytesReachedCaller());
    }
}
