package org.gooseberryring.host.engine;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gooseberryring.coordination.claim.ClaimAnswer;
import org.gooseberryring.coordination.limit.Admission;
import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.Target;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.ServiceRoute;
import org.gooseberryring.state.Verdict;

/** Takes placed endpoints in turn, without limits, claims or load; stands in for the request engine. */
public final class MinimalEngine implements RequestDecisions {
    private static final int MAX_ATTEMPTS = 3;
    private static final long RETRY_AFTER_MILLIS = 1000;

    private final Map<String, Open> open = new HashMap<>();
    private FleetConfiguration configuration = FleetConfiguration.empty();
    private int turn;

    @Override
    public List<RequestEffect> arrived(RequestSpec spec, long now) {
        if (spec.idempotencyKey() != null && !spec.idempotent()) {
            return refuse(spec.id(), ErrorCode.CLAIM_UNAVAILABLE, Verdict.NOT_RUN);
        }
        return dispatch(new Open(spec, 1), now);
    }

    @Override
    public List<RequestEffect> admitted(String requestId, Admission admission, long now) {
        return List.of();
    }

    @Override
    public List<RequestEffect> claimAnswered(String requestId, ClaimAnswer answer, long now) {
        return List.of();
    }

    @Override
    public List<RequestEffect> responseStarted(String requestId, int attempt, long now) {
        return List.of();
    }

    @Override
    public List<RequestEffect> attemptEnded(String requestId, int attempt, AttemptOutcome outcome, long now) {
        Open request = open.remove(requestId);
        if (request == null || outcome.verdict() == Verdict.COMPLETED) {
            return List.of();
        }
        boolean repeatable = outcome.verdict() == Verdict.NOT_RUN || request.spec.idempotent();
        if (repeatable && !outcome.bytesReachedCaller() && attempt < MAX_ATTEMPTS && now < request.spec.deadline()) {
            return dispatch(new Open(request.spec, attempt + 1), now);
        }
        ErrorCode code = outcome.verdict() == Verdict.NOT_RUN ? ErrorCode.NO_ENDPOINT : ErrorCode.INCOMPLETE_ANSWER;
        return refuse(requestId, code, outcome.verdict());
    }

    @Override
    public List<RequestEffect> callerGone(String requestId, long now) {
        Open request = open.remove(requestId);
        return request == null
                ? List.of()
                : List.of(new RequestEffect.Cancel(requestId, request.attempt, request.endpoint));
    }

    @Override
    public List<RequestEffect> tick(long now) {
        return List.of();
    }

    @Override
    public List<RequestEffect> configured(FleetConfiguration next, long now) {
        configuration = next;
        return List.of();
    }

    @Override
    public List<RequestEffect> loadReported(
            String endpoint,
            long incarnation,
            int running,
            int waiting,
            int capacity,
            Collection<Artifact> loadedArtifacts,
            long ageMillis,
            long now) {
        return List.of();
    }

    private List<RequestEffect> dispatch(Open request, long now) {
        List<String> candidates = candidates(request.spec.target());
        if (candidates.isEmpty()) {
            return refuse(request.spec.id(), ErrorCode.NO_ENDPOINT, Verdict.NOT_RUN);
        }
        request.endpoint = candidates.get(Math.floorMod(turn++, candidates.size()));
        open.put(request.spec.id(), request);
        return List.of(new RequestEffect.Dispatch(request.spec.id(), request.attempt, request.endpoint));
    }

    private List<String> candidates(Target target) {
        List<String> all;
        if (target instanceof Target.ModelTarget model) {
            all = configuration.placements().entrySet().stream()
                    .filter(e -> e.getValue().contains(model.artifact()))
                    .map(Map.Entry::getKey)
                    .toList();
        } else {
            ServiceRoute route = configuration.services().get(((Target.ServiceTarget) target).service());
            all = route == null ? List.of() : route.endpoints();
        }
        return all.stream().filter(this::inService).toList();
    }

    private boolean inService(String id) {
        Endpoint endpoint = configuration.endpoints().get(id);
        FailureDomain domain =
                endpoint == null ? null : configuration.failureDomains().get(endpoint.failureDomain());
        return endpoint != null && !endpoint.leaving() && domain != null && domain.in();
    }

    private static List<RequestEffect> refuse(String id, ErrorCode code, Verdict verdict) {
        long retryAfter = verdict == Verdict.NOT_RUN ? RETRY_AFTER_MILLIS : 0;
        return List.of(new RequestEffect.Refuse(id, code, verdict, retryAfter, code.wireName()));
    }

    private static final class Open {
        private final RequestSpec spec;
        private final int attempt;
        private String endpoint;

        private Open(RequestSpec spec, int attempt) {
            this.spec = spec;
            this.attempt = attempt;
        }
    }
}
