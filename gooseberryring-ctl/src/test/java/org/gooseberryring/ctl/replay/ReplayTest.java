package org.gooseberryring.ctl.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import org.gooseberryring.state.Change;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ReplayTest {
    private static final Map<String, OrganisationAccess> ACCESS = Map.of("o", new OrganisationAccess("k", 10, 100));

    /** Guards against requests that are sent early, late or in another order than in the trace. */
    @Test
    void sendsRequestsAtScheduledTimesDividedBySpeed() {
        AtomicLong clock = new AtomicLong(5_000);
        RequestSender sender = (number, line, key, sentMillis, done) ->
                done.accept(new Outcome(line, sentMillis, 200, null, true, 1, 2));
        Replay replay = new Replay(sender, ACCESS, clock::get, clock::addAndGet, 1);

        List<Long> marked = new ArrayList<>();

        List<Outcome> outcomes = replay.run(
                List.of(request(0), TraceLine.mark(500, "x"), request(1_000), request(1_000)),
                2,
                mark -> marked.add(clock.get()));

        assertThat(outcomes.stream().map(Outcome::sentMillis)).containsExactly(0L, 500L, 500L);
        assertThat(marked).containsExactly(5_250L);
        assertThat(replay.sentLate()).isEqualTo(0);
    }

    /** Guards against generated marks that a replay does not apply. */
    @Test
    void mapsGeneratedMarksToChanges() {
        List<Change> changes = new TraceGenerator(TraceProfile.WATTLE, 1, 60, 1)
                .generate("b").stream()
                        .filter(line -> !line.request())
                        .map(line -> MarkActions.parseChange(line.fault()))
                        .toList();

        assertThat(changes)
                .containsExactly(new Change.SetFailureDomainIn("b", false), new Change.SetFailureDomainIn("b", true))
                .inOrder();
    }

    static TraceLine request(long timeMillis) {
        return new TraceLine(timeMillis, "o", "m", null, 40, 10, null, true, null);
    }
}
