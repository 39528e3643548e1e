package org.gooseberryring.coordination.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.gooseberryring.state.Organisation;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures one limit decision with its settlement, both alone and with the request's share of the cost of fetching and
 * returning tokens and of the keeper's work.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class TokenPoolBenchmark {
    private static final int RUNNING = 1_000;
    private static final int ORGANISATIONS = 100;

    private final String[] requests = new String[RUNNING];
    private final String[] organisations = new String[ORGANISATIONS];
    private TokenPool tokenPool;
    private TokenPool large;
    private TokenKeeper keeper;
    private long now;
    private int next;

    @Setup
    public void fill() {
        tokenPool = new TokenPool("h", 1, LimitSettings.defaults());
        keeper = new TokenKeeper("h", 1, LimitSettings.defaults());
        Map<String, Organisation> configured = new HashMap<>();
        Map<String, Quota> quotas = new HashMap<>();
        for (int i = 0; i < ORGANISATIONS; i++) {
            organisations[i] = "organisation-" + i;
            configured.put(organisations[i], new Organisation(organisations[i], 1L << 40, 1L << 40, 1, null));
            quotas.put(organisations[i], Quota.none().raised(1L << 40, 1L << 40, true));
        }
        tokenPool.configure(configured, now);
        keeper.onConfirmed(now);
        keeper.setQuotas(quotas, now);
        for (String organisation : organisations) {
            tokenPool.setKeepers(organisation, List.of("h"));
        }
        fillLarge(configured);
        for (int i = 0; i < RUNNING; i++) {
            requests[i] = "request-" + i;
            tokenPool.reserve(requests[i], organisations[i % ORGANISATIONS], 500, now);
            exchange();
        }
    }

    /** Reserves tokens for one request from available tokens and settles the oldest running request. */
    @Benchmark
    public Admission decide() {
        int i = next++ % RUNNING;
        large.settle(requests[i], 200, 0);
        return large.reserve(requests[i], organisations[i % ORGANISATIONS], 500, 0);
    }

    /** Reserves tokens for one request and settles the oldest running request, at 50,000 requests per second. */
    @Benchmark
    public Admission reserveAndSettle() {
        int i = next++ % RUNNING;
        if (next % 50 == 0) {
            now++;
        }
        if (next % 500 == 0) {
            tokenPool.tick(now);
            exchange();
        }
        tokenPool.settle(requests[i], 200, now);
        Admission admission = tokenPool.reserve(requests[i], organisations[i % ORGANISATIONS], 500, now);
        if (admission.kind() != Admission.Kind.ADMITTED) {
            exchange();
        }
        return admission;
    }

    private void fillLarge(Map<String, Organisation> configured) {
        large = new TokenPool("l", 1, LimitSettings.defaults());
        large.configure(configured, 0);
        for (String organisation : organisations) {
            large.setKeepers(organisation, List.of("h"));
            large.reserve("first-" + organisation, organisation, 1, 0);
            for (LimitEffect effect : large.drain()) {
                TokenMessage.Request request = (TokenMessage.Request) ((LimitEffect.Send) effect).message();
                large.onGrant(
                        "h", new TokenMessage.Grant(request.requestId(), organisation, 1L << 40, 5_000, 0, "b"), 0);
            }
            large.drain();
        }
    }

    private void exchange() {
        List<LimitEffect> effects = tokenPool.drain();
        while (!effects.isEmpty()) {
            for (LimitEffect effect : effects) {
                if (effect instanceof LimitEffect.Send send) {
                    deliver(send.message());
                }
            }
            effects = tokenPool.drain();
        }
        keeper.onConfirmed(now);
    }

    private void deliver(TokenMessage message) {
        if (message instanceof TokenMessage.Request request) {
            for (LimitEffect reply : keeper.onRequest("h", request, now)) {
                tokenPool.onGrant("h", (TokenMessage.Grant) ((LimitEffect.Send) reply).message(), now);
            }
        } else if (message instanceof TokenMessage.Return tokenReturn) {
            keeper.onReturn("h", tokenReturn, now);
        }
    }
}
