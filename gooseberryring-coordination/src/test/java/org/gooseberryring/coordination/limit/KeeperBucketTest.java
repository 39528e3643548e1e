package org.gooseberryring.coordination.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static com.google.common.truth.Truth.assertWithMessage;

class KeeperBucketTest {
    private static final long LIFETIME = 500;

    /** Batch whose tokens one request reserved in full. */
    private record Running(String batch, int admission, long tokens, long used) {}

    /**
     * Guards against unused tokens that are refunded after the bucket was refilled and allow two bursts in one window.
     */
    @Property(tries = 200, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void lateRefundsExceedNoWindow(@ForAll long seed) {
        Random random = new Random(seed);
        AdmissionLog log = new AdmissionLog();
        KeeperBucket bucket = new KeeperBucket(0);
        bucket.allot(1_000, 1_000, 0, Long.MAX_VALUE);
        log.limit(0, 1_000, 1_000);
        List<Running> running = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < 3_000; i++) {
            now += random.nextInt(random.nextInt(50) == 0 ? 2_000 : 20);
            bucket.advance(now, Long.MAX_VALUE);
            String id = "b" + i;
            if (random.nextInt(3) > 0) {
                long tokens = bucket.grant(id, "h", 1 + random.nextInt(400), now + LIFETIME);
                if (tokens > 0) {
                    long used = random.nextInt(4) == 0 ? tokens : random.nextInt(1 + (int) tokens / 10);
                    running.add(new Running(id, log.admit(now, tokens), tokens, used));
                    if (random.nextInt(5) > 0) {
                        bucket.refund("h", id, 0, now);
                    }
                }
            }
            while (running.size() > random.nextInt(20)) {
                Running done = running.remove(random.nextInt(running.size()));
                log.settle(done.admission(), done.used());
                bucket.refund("h", done.batch(), done.tokens() - done.used(), now);
                bucket.refund("h", done.batch(), done.tokens() - done.used(), now);
            }
        }
        assertWithMessage("excess tokens in a window, seed %s", seed)
                .that(log.excess())
                .isAtMost(0.0);
    }
}
