package org.gooseberryring.coordination.queue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.gooseberryring.state.PriorityClass;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class FairQueueTest {
    private static final long DEADLINE_MILLIS = 1_000;

    /** Server that processes one request at a time at 20 tokens per millisecond. */
    private static final class Service {
        private final FairQueue<String> queue = new FairQueue<>(QueueSettings.defaults(), organisation -> 1);
        private final Map<String, Integer> offered = new HashMap<>();
        private final Map<String, Integer> served = new HashMap<>();
        private final Map<String, Long> tokens = new HashMap<>();
        private double freeAt;
        private long sequence;

        private void offer(String organisation, PriorityClass priorityClass, long cost, long now) {
            offered.merge(organisation, 1, Integer::sum);
            queue.offer(
                    new QueueItem<>(
                            "r" + ++sequence,
                            organisation,
                            priorityClass,
                            "model",
                            cost,
                            now + DEADLINE_MILLIS,
                            organisation),
                    now);
        }

        private void run(long now) {
            queue.expire(now);
            freeAt = Math.max(freeAt, now);
            while (freeAt < now + 1) {
                QueueItem<String> item = queue.poll(now, value -> true);
                if (item == null) {
                    return;
                }
                freeAt += item.costTokens() / 20.0;
                served.merge(item.organisation(), 1, Integer::sum);
                tokens.merge(item.organisation(), item.costTokens(), Long::sum);
            }
        }

        private double attainment(String organisation) {
            return served.getOrDefault(organisation, 0) / (double) offered.get(organisation);
        }
    }

    /**
     * Simulates up to five organisations that each send 80% of their share of the service, the first one a multiple of
     * that.
     *
     * @param first index of the first organisation that sends requests
     */
    private static Service run(int first, double multiple, int last) {
        Service service = new Service();
        Random[] random = new Random[5];
        for (int i = 0; i < 5; i++) {
            random[i] = new Random(100 + i);
        }
        for (long now = 0; now < 60_000; now++) {
            for (int i = first; i <= last; i++) {
                // A request has 250 tokens on average; a fifth of 20 tokens per millisecond is one request every 62.5
                // ms.
                double perMilli = 0.8 / 62.5 * (i == 0 ? multiple : 1);
                if (random[i].nextDouble() < perMilli) {
                    service.offer("org-" + i, PriorityClass.NORMAL, 50 + random[i].nextInt(401), now);
                }
            }
            service.run(now);
        }
        return service;
    }

    /** Guards against an organisation that sends five times its rate and reduces the service of the others. */
    @Test
    void otherOrganisationsKeepTheirAttainment() {
        Service together = run(0, 5, 4);
        for (int i = 1; i < 5; i++) {
            double alone = run(i, 1, i).attainment("org-" + i);
            assertWithMessage("org-%s, alone %s", i, alone)
                    .that(together.attainment("org-" + i))
                    .isAtLeast(0.99 * alone);
        }
        assertThat(together.attainment("org-0")).isLessThan(0.6);
    }

    /** Guards against starvation of a lower class while the demand of higher classes exceeds the service. */
    @Test
    void everyClassGetsItsMinimumShare() {
        Service service = new Service();
        Random random = new Random(7);
        for (long now = 0; now < 30_000; now++) {
            for (PriorityClass priorityClass : PriorityClass.values()) {
                if (random.nextDouble() < 0.1) {
                    service.offer(priorityClass.name(), priorityClass, 50 + random.nextInt(401), now);
                }
            }
            service.run(now);
        }
        double all = service.tokens.values().stream().mapToLong(Long::longValue).sum();
        assertThat(service.tokens.get("BATCH") / all).isAtLeast(0.09);
        assertThat(service.tokens.get("NORMAL") / all).isAtLeast(0.23);
        assertThat(service.tokens.get("HIGH") / all).isAtLeast(0.5);
    }

    /** Guards against a blocked target that delays requests for other targets, of any organisation. */
    @Test
    void blockedTargetDoesNotBlockOthers() {
        FairQueue<String> queue = new FairQueue<>(QueueSettings.defaults(), organisation -> 1);
        for (int i = 0; i < 100; i++) {
            queue.offer(item("blocked-" + i, "a", "cold", 1_000), 0);
        }
        queue.offer(item("own", "a", "warm", 1_000), 0);
        queue.offer(item("other", "b", "warm", 1_000), 0);

        List<String> taken = List.of(
                queue.poll(1, "warm"::equals).id(),
                queue.poll(1, "warm"::equals).id());
        assertThat(taken).containsExactly("own", "other");
        assertThat(queue.poll(1, "warm"::equals)).isNull();
        assertThat(queue.poll(1, value -> true).id()).isEqualTo("blocked-0");
    }

    /** Guards against queued requests that cannot meet their deadline, and against a retry delay that is too short. */
    @Test
    void requestWithUnreachableDeadlineIsRefusedWithRetryDelay() {
        FairQueue<String> queue = new FairQueue<>(QueueSettings.defaults(), organisation -> 1);
        for (int i = 0; i < 200; i++) {
            queue.offer(item("r" + i, "a", "t", 1_000_000), 0);
        }
        // After serving 100 tokens every 10 ms, 10,000 tokens remain, which take another 1,000 ms.
        for (long now = 10; now <= 1_000; now += 10) {
            queue.poll(now, value -> true);
        }
        QueueOffer<String> refused = queue.offer(item("late", "a", "t", 1_400), 1_000);
        QueueOffer<String> accepted = queue.offer(item("fine", "a", "t", 2_600), 1_000);

        assertThat(refused.kind()).isEqualTo(QueueOffer.Kind.DEADLINE_UNREACHABLE);
        assertThat(refused.retryAfterMillis()).isAtLeast(500);
        assertThat(refused.retryAfterMillis()).isAtMost(700);
        assertThat(accepted.kind()).isEqualTo(QueueOffer.Kind.ACCEPTED);
    }

    /** Guards against an organisation that fills the queue and thereby blocks the others. */
    @Test
    void fullQueueEvictsForAnOrganisationWithFewRequests() {
        QueueSettings settings = new QueueSettings(10, 8, 500, Map.of());
        FairQueue<String> queue = new FairQueue<>(settings, organisation -> 1);
        for (int i = 0; i < 9; i++) {
            QueueOffer<String> offer = queue.offer(item("a" + i, "a", "t", 1_000), 0);
            assertThat(offer.kind()).isEqualTo(i < 8 ? QueueOffer.Kind.ACCEPTED : QueueOffer.Kind.FULL);
        }
        queue.offer(item("b0", "b", "t", 500), 0);
        queue.offer(item("b1", "b", "t", 500), 0);

        QueueOffer<String> offer = queue.offer(item("c0", "c", "t", 1_000), 0);
        assertThat(offer.evicted().stream().map(QueueItem::id).toList()).containsExactly("a7");
        assertThat(queue.size()).isEqualTo(10);
        List<String> expired = queue.expire(500).stream().map(QueueItem::id).toList();
        assertThat(expired).containsExactly("b0", "b1");
        assertThat(queue.remove("c0").id()).isEqualTo("c0");
        assertThat(queue.size()).isEqualTo(7);
    }

    private static QueueItem<String> item(String id, String organisation, String target, long deadline) {
        return new QueueItem<>(id, organisation, PriorityClass.NORMAL, target, 100, deadline, target);
    }
}
