package org.gooseberryring.host.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.gooseberryring.coordination.claim.ClaimEffect;
import org.gooseberryring.coordination.claim.ClaimMessage;
import org.gooseberryring.coordination.claim.ClaimOwner;
import org.gooseberryring.coordination.claim.ClaimSettings;
import org.gooseberryring.coordination.claim.ClaimShards;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.host.control.JsonClaimCodec;

/** Measures object size, commit time and memory of a claim shard by claims, and a membership change by hosts. */
public final class ClaimSlopeBenchmark {
    private static final int[] CLAIMS = {250, 500, 1_000, 1_900};
    private static final int[] HOSTS = {350, 700, 1_400};
    private static final int BODY_BYTES = 256;
    private static final int COMMITS = 20;

    private final ClaimOwner owner = new ClaimOwner(0, "host-0001", 1, ClaimSettings.defaults(), new JsonClaimCodec());
    private long now = 1;
    private long version;
    private long sequence;
    private int writtenBytes;

    private ClaimSlopeBenchmark(int claims, boolean bodies) {
        owner.acquire(holder -> true);
        execute(owner.tick(now));
        for (int i = 0; i < claims; i++) {
            claim(bodies);
        }
    }

    /** Prints one line with data points and fitted line per slope. */
    public static void main(String[] args) {
        Slope bytes = new Slope("claims/N by claims without bodies", "bytes");
        Slope withBodies = new Slope("claims/N by claims with bodies of 256 bytes", "bytes");
        Slope commit = new Slope("commit of one claim by claims", "CPU ms");
        Slope heap = new Slope("shard owner by claims", "MB");
        new ClaimSlopeBenchmark(1_000, true);
        for (int n : CLAIMS) {
            ClaimSlopeBenchmark shard = new ClaimSlopeBenchmark(n - COMMITS, false);
            commit.add(n, Slope.warmCpuMillis(COMMITS, () -> shard.claim(false)));
            bytes.add(n, shard.writtenBytes);
            heap.add(n, Slope.heapMegabytes(() -> new ClaimSlopeBenchmark(n, false)));
            if (n <= 1_000) {
                withBodies.add(n, new ClaimSlopeBenchmark(n, true).writtenBytes);
            }
        }
        bytes.print();
        withBodies.print();
        commit.print();
        heap.print();
        Slope members = new Slope("owners of 256 shards after a membership change by hosts", "CPU ms");
        for (int n : HOSTS) {
            List<String> hosts = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                hosts.add("host-" + i);
            }
            List<String> others = hosts.subList(1, n);
            ClaimShards shards = new ClaimShards("host-1", 1, ClaimSettings.defaults(), new JsonClaimCodec());
            members.add(
                    n,
                    Slope.cpuMillis(10, () -> {
                                shards.onMembersChanged(hosts, 0);
                                shards.onMembersChanged(others, 0);
                            })
                            / 2);
        }
        members.print();
    }

    private void claim(boolean body) {
        now += 5;
        String digest = String.format("%064x", ++sequence);
        String request = "host-0002/1a0c3f5e7b9/" + sequence;
        execute(owner.onRequest("host-0002", 1, new ClaimMessage.Request(request, digest, digest, 0), now));
        if (body) {
            now += 5;
            execute(owner.onOutcome(
                    "host-0002",
                    1,
                    new ClaimMessage.Outcome(digest, 0, false, 200, new byte[BODY_BYTES], request),
                    now));
        }
    }

    /** Executes effects; every store call gets its reply immediately. */
    private void execute(List<ClaimEffect> effects) {
        Deque<ClaimEffect> queue = new ArrayDeque<>(effects);
        while (!queue.isEmpty()) {
            if (queue.poll() instanceof ClaimEffect.Store call) {
                StoreRequest request = call.request();
                StoreReply reply = new StoreReply(request.key(), StoreOutcome.ABSENT, 0, null);
                if (request instanceof StoreRequest.Put put) {
                    writtenBytes = put.value().length;
                    reply = new StoreReply(request.key(), StoreOutcome.OK, ++version, null);
                }
                queue.addAll(owner.onStore(reply, now));
            }
        }
    }
}
