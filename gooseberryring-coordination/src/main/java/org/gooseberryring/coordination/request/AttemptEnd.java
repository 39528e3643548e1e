package org.gooseberryring.coordination.request;

import java.util.List;

/** Ends running attempts; each method adds the actions to take to a list. */
final class AttemptEnd {
    private AttemptEnd() {}

    /**
     * Refuses a running request, unless its response has started, of which the request thread may not have heard yet.
     *
     * @param retryAfterMillis milliseconds after which a retry may succeed
     */
    static void refuseUnlessStarted(
            RequestState state, RefusalReason reason, long retryAfterMillis, List<RequestEffect> effects) {
        if (state.hasAnyResponseStarted()) {
            return;
        }
        boolean isCancelled = isUnusedCancelled(state) && !state.isCancelled();
        effects.add(new RequestEffect.EndUnstarted(
                state.id(),
                reason.refusal(state.id(), state.verdict(), retryAfterMillis),
                isCancelled ? cancellation(state) : null));
        state.endsUnlessStarted(true, state.isCancelled() || isCancelled);
    }

    /**
     * Refuses a running request whose response has not started in time, or cancels the attempt that was to continue a
     * response and has not gone on in time.
     */
    static void endOverdue(RequestState state, long retryAfterMillis, List<RequestEffect> effects) {
        if (!state.hasAnyResponseStarted()) {
            refuseUnlessStarted(state, RefusalReason.TIMEOUT, retryAfterMillis, effects);
        } else if (!state.hasResponseStarted() && state.endpoint() != null) {
            cancelUnlessStarted(state, effects);
        }
    }

    /** Cancels an attempt, unless its response has started, of which the request thread may not have heard yet. */
    static void cancelUnlessStarted(RequestState state, List<RequestEffect> effects) {
        if (!state.isCancelled()) {
            effects.add(new RequestEffect.EndUnstarted(state.id(), null, cancellation(state)));
            state.endsUnlessStarted(false, true);
        }
    }

    /** Cancels an attempt whose response is no longer needed. */
    static void cancelIfUnused(RequestState state, List<RequestEffect> effects) {
        if (isUnusedCancelled(state)) {
            cancel(state, effects);
        }
    }

    static void cancel(RequestState state, List<RequestEffect> effects) {
        if (state.isCancelled() && !state.endsUnlessStarted()) {
            return;
        }
        state.cancelled();
        RequestEffect.Cancel cancellation = cancellation(state);
        if (cancellation != null) {
            effects.add(cancellation);
        }
    }

    /** Returns whether an unused attempt is cancelled: not if it must not run twice and its outcome is to be recorded. */
    private static boolean isUnusedCancelled(RequestState state) {
        return state.spec().idempotent() || state.spec().handling().cancelsUnused();
    }

    /** Returns the cancellation of the running attempt, null if another failure domain runs it. */
    private static RequestEffect.Cancel cancellation(RequestState state) {
        return state.endpoint() == null
                ? null
                : new RequestEffect.Cancel(state.id(), state.attempt(), state.endpoint());
    }
}
