package org.gooseberryring.host.engine;

import java.util.Collection;
import java.util.List;

import org.gooseberryring.coordination.claim.ClaimAnswer;
import org.gooseberryring.coordination.limit.Admission;
import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.FleetConfiguration;

/** Decides on requests; single-threaded, with {@code now} in monotonic milliseconds. */
public interface RequestDecisions {
    List<RequestEffect> arrived(RequestSpec spec, long now);

    List<RequestEffect> admitted(String requestId, Admission admission, long now);

    List<RequestEffect> claimAnswered(String requestId, ClaimAnswer answer, long now);

    List<RequestEffect> responseStarted(String requestId, int attempt, long now);

    List<RequestEffect> attemptEnded(String requestId, int attempt, AttemptOutcome outcome, long now);

    List<RequestEffect> callerGone(String requestId, long now);

    List<RequestEffect> tick(long now);

    List<RequestEffect> configured(FleetConfiguration configuration, long now);

    /** Takes a load report whose figures are {@code ageMillis} old. */
    List<RequestEffect> loadReported(
            String endpoint,
            long incarnation,
            int running,
            int waiting,
            int capacity,
            Collection<Artifact> loadedArtifacts,
            long ageMillis,
            long now);
}
