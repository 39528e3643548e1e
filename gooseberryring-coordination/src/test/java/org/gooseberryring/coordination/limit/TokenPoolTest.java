package org.gooseberryring.coordination.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntUnaryOperator;

import org.gooseberryring.state.Organisation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

class TokenPoolTest {
    /** Distribution of requests over the hosts. */
    enum Spread {
        EVEN(i -> i % 7),
        SKEWED(i -> i % 10 < 7 ? 0 : i % 7),
        ONE_HOST(i -> 3);

        private final IntUnaryOperator host;

        Spread(IntUnaryOperator host) {
            this.host = host;
        }
    }

    /** Guards against refusals of requests within the rate when the tokens are at keepers on other hosts. */
    @ParameterizedTest
    @EnumSource(Spread.class)
    void requestsWithinTheRateAreNotRefused(Spread spread) {
        LimitSimulation simulation =
                new LimitSimulation(17, LimitSettings.defaults(), LimitSimulation.Faults.NONE, 10_000, 30_000);
        simulation.run(30_000);
        double due = simulation.now();
        for (int i = 0; i < 10_000; i++) {
            long used = 50 + simulation.random().nextInt(201);
            long reserved = used + simulation.random().nextInt(201);
            // Exponential gaps at 95% of the rate; a request uses 150 tokens on average.
            due += -Math.log(1 - simulation.random().nextDouble()) * 150 / (10_000 * 0.95) * 1_000;
            simulation.run(Math.max(0, Math.round(due) - simulation.now()));
            simulation.hosts().get(spread.host.applyAsInt(i)).request(reserved, used, 200 + i % 1_300);
        }
        simulation.run(5_000);

        assertThat(simulation.refused()).isEqualTo(0);
        assertThat(simulation.log().size()).isEqualTo(10_000);
        assertThat(simulation.log().excess()).isAtMost(0.0);
    }

    /** Guards against a retry delay that is too short or too long. */
    @Test
    void refusedRequestIsAdmittedAfterItsRetryDelay() {
        LimitSimulation simulation =
                new LimitSimulation(18, LimitSettings.defaults(), LimitSimulation.Faults.NONE, 1_000, 6_000);
        simulation.run(30_000);
        for (int i = 0; i < 12; i++) {
            simulation.hosts().get(i % 7).request(500, 500, 10);
        }
        simulation.run(500);
        simulation.hosts().get(0).request(2_000, 2_000, 10);
        simulation.run(100);
        assertThat(simulation.refused()).isEqualTo(1);
        assertThat(simulation.lastRetryAfter()).isAtLeast(1_000);
        assertThat(simulation.lastRetryAfter()).isAtMost(2_000);

        simulation.run(simulation.lastRetryAfter());
        simulation.hosts().get(0).request(2_000, 2_000, 10);
        simulation.run(100);

        assertThat(simulation.refused()).isEqualTo(1);
    }

    /** Guards against a host that resumes after a pause and spends a batch that has expired at its keeper. */
    @Test
    void pausedTokenPoolSpendsNoExpiredBatch() {
        TokenPool tokenPool = new TokenPool("w", 1, LimitSettings.defaults());
        tokenPool.configure(Map.of("o", new Organisation("o", 1_000, 1_000, 1, null)), 0);
        tokenPool.setKeepers("o", List.of("k"));
        assertThat(tokenPool.reserve("r1", "o", 100, 0).kind()).isEqualTo(Admission.Kind.PENDING);
        TokenMessage.Grant grant = new TokenMessage.Grant(requestId(tokenPool), "o", 600, 5_000, 0, "b");
        tokenPool.onGrant("k", grant, 1_000);
        tokenPool.onGrant("k", grant, 1_001);
        assertThat(tokenPool.available("o")).isEqualTo(500);

        // The lifetime of 5,000 ms counts from the request at 0, less 10%.
        assertThat(tokenPool.reserve("r2", "o", 100, 4_499).kind()).isEqualTo(Admission.Kind.ADMITTED);
        assertThat(tokenPool.reserve("r3", "o", 100, 4_500).kind()).isEqualTo(Admission.Kind.PENDING);
        tokenPool.onGrant("k", new TokenMessage.Grant(requestId(tokenPool), "o", 900, 5_000, 0, "late"), 9_000);
        assertThat(tokenPool.available("o")).isEqualTo(0);
    }

    /** Guards against a pause in fetching that delays requests although the keeper has all the requested tokens. */
    @Test
    void tokensForRequestThatArrivesDuringARoundAreFetchedImmediately() {
        TokenPool tokenPool = new TokenPool("w", 1, LimitSettings.defaults());
        tokenPool.configure(Map.of("o", new Organisation("o", 1_000, 1_000, 1, null)), 0);
        tokenPool.setKeepers("o", List.of("k"));
        tokenPool.reserve("r1", "o", 100, 0);
        String first = requestId(tokenPool);
        tokenPool.reserve("r2", "o", 100, 0);
        tokenPool.onGrant("k", new TokenMessage.Grant(first, "o", 100, 5_000, 0, "b1"), 1);

        String second = requestId(tokenPool);
        tokenPool.onGrant("k", new TokenMessage.Grant(second, "o", 100, 5_000, 0, "b2"), 2);

        assertThat(tokenPool.drain()).contains(new LimitEffect.Decided("r2", Admission.admitted()));
    }

    /**
     * Guards against a refusal for exceeding the rate when the connection to the keeper is not yet established, and
     * against an endless wait.
     */
    @Test
    void keeperThatDidNotReplyIsAskedAgainBeforeARefusal() {
        TokenPool tokenPool = new TokenPool("w", 1, LimitSettings.defaults());
        tokenPool.configure(Map.of("o", new Organisation("o", 1_000, 1_000, 1, null)), 0);
        tokenPool.setKeepers("o", List.of("k"));
        tokenPool.reserve("r1", "o", 100, 0);

        List<LimitEffect> soon = tickUntil(tokenPool, 0, 300);
        List<LimitEffect> later = tickUntil(tokenPool, 300, 2_000);

        assertThat(soon.stream().filter(LimitEffect.Send.class::isInstance).count())
                .isAtLeast(2);
        assertThat(soon.stream().filter(LimitEffect.Decided.class::isInstance).count())
                .isEqualTo(0);
        assertThat(later.stream().filter(LimitEffect.Decided.class::isInstance).count())
                .isEqualTo(1);
    }

    /**
     * Guards against a refusal because a keeper has no tokens while it may not grant any yet, for example after its
     * start.
     */
    @Test
    void keeperThatCannotGrantYetIsAskedAgainBeforeARefusal() {
        TokenPool tokenPool = new TokenPool("w", 1, LimitSettings.defaults());
        tokenPool.configure(Map.of("o", new Organisation("o", 1_000, 1_000, 1, null)), 0);
        tokenPool.setKeepers("o", List.of("k"));
        tokenPool.reserve("r1", "o", 100, 0);

        tokenPool.onGrant("k", new TokenMessage.Grant(requestId(tokenPool), "o", 0, 0, 0, ""), 5);
        List<LimitEffect> soon = tickUntil(tokenPool, 10, 300);

        assertThat(soon.stream().filter(LimitEffect.Decided.class::isInstance).count())
                .isEqualTo(0);
        assertThat(soon.stream().filter(LimitEffect.Send.class::isInstance).count())
                .isAtLeast(1);
    }

    private static List<LimitEffect> tickUntil(TokenPool tokenPool, long from, long to) {
        List<LimitEffect> effects = new ArrayList<>();
        for (long now = from; now < to; now += 10) {
            tokenPool.tick(now);
            effects.addAll(tokenPool.drain());
        }
        return effects;
    }

    private static String requestId(TokenPool tokenPool) {
        return tokenPool.drain().stream()
                .filter(effect -> effect instanceof LimitEffect.Send)
                .map(effect -> ((LimitEffect.Send) effect).message())
                .filter(message -> message instanceof TokenMessage.Request)
                .map(TokenMessage.Request.class::cast)
                .map(TokenMessage.Request::requestId)
                .reduce((first, second) -> second)
                .orElseThrow();
    }
}
