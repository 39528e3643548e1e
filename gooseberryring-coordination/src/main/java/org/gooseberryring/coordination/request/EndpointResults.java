package org.gooseberryring.coordination.request;

import java.util.List;

import org.gooseberryring.coordination.route.EndpointRouter;
import org.gooseberryring.state.Verdict;

/** Counts the outcomes of attempts for their endpoints. */
final class EndpointResults {
    private final EndpointRouter router;
    private final CrashGuard crashes;

    EndpointResults(EndpointRouter router, CrashGuard crashes) {
        this.router = router;
        this.crashes = crashes;
    }

    /**
     * Counts the outcome of an attempt.
     *
     * @param state request of the attempt, which was sent to an endpoint
     * @param effects list to which the actions to take are added
     * @return whether the request has become a suspect, which must run alone
     */
    boolean onAttemptEnded(RequestState state, AttemptOutcome outcome, List<RequestEffect> effects, long now) {
        String endpoint = state.endpoint();
        boolean isNewSuspect = false;
        if (outcome.endpointLost()) {
            router.onEndpointLost(endpoint, state.lossEpoch(), now);
            if (outcome.verdict() != Verdict.NOT_RUN) {
                isNewSuspect = !crashes.isSuspect(state.spec());
                String loss = endpoint + '#' + state.lossEpoch();
                effects.add(crashes.onEndpointLost(state.spec().digest(), loss, now));
            }
        } else if (outcome.verdict() == Verdict.COMPLETED) {
            router.onAttemptSucceeded(endpoint, outcome.firstTokenMillis(), now);
            if (state.query().alone()) {
                crashes.onCompletedAlone(state.spec());
            }
        } else if (!state.isCancelled()) {
            router.onAttemptFailed(endpoint, now);
        }
        if (outcome.verdict() == Verdict.MAY_HAVE_RUN && !outcome.endpointLost()) {
            router.onAttemptAbandoned(endpoint, now);
        }
        router.onAttemptEnded(endpoint, state.query(), now);
        return isNewSuspect;
    }
}
