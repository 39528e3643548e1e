package org.gooseberryring.coordination.claim;

import java.util.List;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ClaimShardsTest {
    private static final ClaimCodec CODEC = new ClaimCodec() {
        @Override
        public byte[] encode(ClaimShardDocument document) {
            return new byte[0];
        }

        @Override
        public ClaimShardDocument decode(byte[] bytes) {
            return ClaimShardDocument.empty();
        }
    };

    /** Guards against a host that overloads the store with writes by acquiring all its shards at once. */
    @Test
    void shardsAreAcquiredAtABoundedRate() {
        ClaimShards shards = new ClaimShards("h", 1, ClaimSettings.defaults(), CODEC);
        shards.onMembersChanged(List.of("h"), 0);
        int writesInFirstSecond = 0;
        int writes = 0;
        for (long now = 0; now < 10_000; now += 5) {
            List<ClaimEffect> effects = shards.tick(now);
            while (!effects.isEmpty()) {
                StoreRequest request = ((ClaimEffect.Store) effects.get(0)).request();
                boolean write = request instanceof StoreRequest.Put;
                writes += write ? 1 : 0;
                StoreOutcome outcome = write ? StoreOutcome.OK : StoreOutcome.ABSENT;
                effects = shards.onStore(new StoreReply(request.key(), outcome, 1, null), now);
            }
            writesInFirstSecond = now < 1_000 ? writes : writesInFirstSecond;
        }
        assertThat(writesInFirstSecond).isAtMost(50);
        assertThat(writes).isEqualTo(ClaimSettings.defaults().shards());
    }
}
