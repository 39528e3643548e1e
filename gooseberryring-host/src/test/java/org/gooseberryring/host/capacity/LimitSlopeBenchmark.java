package org.gooseberryring.host.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;

import org.gooseberryring.coordination.limit.KeeperEntry;
import org.gooseberryring.coordination.limit.LimitEffect;
import org.gooseberryring.coordination.limit.LimitSettings;
import org.gooseberryring.coordination.limit.Quota;
import org.gooseberryring.coordination.limit.QuotaDocument;
import org.gooseberryring.coordination.limit.TokenKeeper;
import org.gooseberryring.coordination.limit.TokenMessage;
import org.gooseberryring.coordination.limit.TokenPool;
import org.gooseberryring.host.control.JsonQuotaCodec;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.protocol.peer.TokenGrant;
import org.gooseberryring.protocol.peer.TokenRequest;
import org.gooseberryring.state.Organisation;

/** Measures keeper, token pool and quota document by organisations and by keepers per organisation. */
public final class LimitSlopeBenchmark {
    private static final int[] ORGANISATIONS = {10, 100, 1_000};
    private static final int[] KEEPERS = {2, 6, 14};
    private static final int TICKS = 2_000;
    private static final int HOSTS = 1_400;
    private static final int SIMULATED_SECONDS = 60;
    private static final int REQUESTS_PER_SECOND = 54;

    private LimitSlopeBenchmark() {}

    /** Prints one line with data points and fitted line per slope. */
    public static void main(String[] args) {
        Slope keeperTick = new Slope("one tick of a keeper by organisations", "CPU ms");
        Slope tokenPoolTick = new Slope("one tick of an idle token pool by organisations", "CPU ms");
        Slope request = new Slope("one batch of tokens at the keeper by organisations", "CPU ms");
        Slope heap = new Slope("keeper and token pool by organisations", "MB");
        for (int n : ORGANISATIONS) {
            TokenKeeper keeper = keeper(n);
            TokenPool tokenPool = tokenPool(n);
            long[] now = {0};
            keeperTick.add(n, Slope.cpuMillis(TICKS, () -> keeper.tick(now[0] += 10)));
            tokenPoolTick.add(n, Slope.cpuMillis(TICKS, () -> tokenPool.tick(now[0] += 10)));
            request.add(n, Slope.cpuMillis(20_000, () -> {
                now[0]++;
                exchange(keeper, "organisation-" + now[0] % n, now[0]);
            }));
            heap.add(n, Slope.heapMegabytes(() -> List.of(keeper(n), tokenPool(n))));
        }
        keeperTick.print();
        tokenPoolTick.print();
        request.print();
        heap.print();
        documents();
        messages();
        Slope messageRate = new Slope("token messages of a host at 54 requests/s by organisations", "messages/s");
        for (int n : ORGANISATIONS) {
            messageRate.add(n, messagesPerSecond(n));
        }
        messageRate.print();
    }

    /** Runs a token pool against one keeper for a simulated minute and returns the messages per second in total. */
    private static double messagesPerSecond(int organisations) {
        TokenKeeper keeper = keeper(organisations);
        TokenPool tokenPool = tokenPool(organisations);
        Random random = new Random(1);
        long messages = 0;
        int next = 0;
        for (long now = 1; now <= SIMULATED_SECONDS * 1_000L; now++) {
            keeper.onConfirmed(now);
            if (random.nextInt(1_000) < REQUESTS_PER_SECOND) {
                tokenPool.reserve("r" + next, "organisation-" + random.nextInt(organisations), 1_000, now);
                tokenPool.settle("r" + (next++ - REQUESTS_PER_SECOND), 700, now);
            }
            if (now % 10 == 0) {
                tokenPool.tick(now);
            }
            messages += deliver(tokenPool, keeper, now);
        }
        return messages / (double) SIMULATED_SECONDS;
    }

    private static long deliver(TokenPool tokenPool, TokenKeeper keeper, long now) {
        long messages = 0;
        for (List<LimitEffect> effects = tokenPool.drain(); !effects.isEmpty(); effects = tokenPool.drain()) {
            for (LimitEffect effect : effects) {
                if (!(effect instanceof LimitEffect.Send send)) {
                    continue;
                }
                messages++;
                if (send.message() instanceof TokenMessage.Return returned) {
                    keeper.onReturn("w", returned, now);
                } else if (send.message() instanceof TokenMessage.Request tokenRequest) {
                    messages++;
                    LimitEffect.Send reply = (LimitEffect.Send)
                            keeper.onRequest("w", tokenRequest, now).get(0);
                    tokenPool.onGrant("h", (TokenMessage.Grant) reply.message(), now);
                }
            }
        }
        return messages;
    }

    private static void documents() {
        JsonQuotaCodec codec = new JsonQuotaCodec();
        Slope bytes = new Slope("limits/quotas by organisations, 14 keepers each", "bytes");
        Slope parse = new Slope("parse of limits/quotas by organisations", "CPU ms");
        for (int n : ORGANISATIONS) {
            byte[] encoded = codec.encode(document(n, 14));
            bytes.add(n, encoded.length);
            parse.add(n, Slope.cpuMillis(50, () -> codec.decode(encoded)));
        }
        bytes.print();
        parse.print();
        Slope byKeeper = new Slope("limits/quotas by keepers of each of 100 organisations", "bytes");
        for (int k : KEEPERS) {
            byKeeper.add(k, codec.encode(document(100, k)).length);
        }
        byKeeper.print();
    }

    private static void messages() {
        int requestBytes = PeerMessage.newBuilder()
                .setSender("host-1234")
                .setSenderIncarnation(1)
                .setSequence(1_000_000)
                .setReceiver("host-0123")
                .setTokenRequest(TokenRequest.newBuilder()
                        .setRequestId("host-1234/wallet/1a0c3f5e7b9/1234567")
                        .setOrganisation("organisation-1")
                        .setTokens(50_000))
                .build()
                .getSerializedSize();
        int grantBytes = PeerMessage.newBuilder()
                .setSender("host-0123")
                .setSenderIncarnation(1)
                .setSequence(1_000_000)
                .setReceiver("host-1234")
                .setTokenGrant(TokenGrant.newBuilder()
                        .setRequestId("host-1234/wallet/1a0c3f5e7b9/1234567")
                        .setOrganisation("organisation-1")
                        .setTokens(50_000)
                        .setLifetimeMillis(5_000)
                        .setBatchId("host-0123#keeper/keeper/1a0c3f5e7b9/1234567"))
                .build()
                .getSerializedSize();
        System.out.println("bytes of a token request " + requestBytes + ", of a grant " + grantBytes);
    }

    private static void exchange(TokenKeeper keeper, String organisation, long now) {
        keeper.onConfirmed(now);
        TokenMessage.Request tokenRequest = new TokenMessage.Request("r" + now, organisation, 500, false);
        LimitEffect.Send reply =
                (LimitEffect.Send) keeper.onRequest("h", tokenRequest, now).get(0);
        TokenMessage.Grant grant = (TokenMessage.Grant) reply.message();
        keeper.onReturn("h", new TokenMessage.Return(organisation, grant.batchId(), 0), now);
    }

    private static TokenKeeper keeper(int organisations) {
        TokenKeeper keeper = new TokenKeeper("h", 1, LimitSettings.defaults());
        Map<String, Quota> quotas = new HashMap<>();
        for (int i = 0; i < organisations; i++) {
            quotas.put("organisation-" + i, new Quota(1L << 40, 1L << 40, 1L << 40, 1L << 40, true, false));
        }
        keeper.onConfirmed(0);
        keeper.setQuotas(quotas, 0);
        return keeper;
    }

    private static TokenPool tokenPool(int organisations) {
        TokenPool tokenPool = new TokenPool("h", 1, LimitSettings.defaults());
        Map<String, Organisation> configured = new HashMap<>();
        for (int i = 0; i < organisations; i++) {
            String id = "organisation-" + i;
            configured.put(id, new Organisation(id, 1_000_000, 10_000_000, 1, null));
        }
        tokenPool.configure(configured, 0);
        configured.keySet().forEach(id -> tokenPool.setKeepers(id, List.of("h")));
        return tokenPool;
    }

    /** Distributes the keepers over all hosts, similar to rendezvous hashing. */
    private static QuotaDocument document(int organisations, int keepers) {
        TreeMap<String, KeeperEntry> entries = new TreeMap<>();
        TreeMap<String, SortedMap<String, Quota>> quotas = new TreeMap<>();
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(String.format("host-%04d", i));
        }
        for (int i = 0; i < organisations; i++) {
            TreeMap<String, Quota> of = new TreeMap<>();
            for (int k = 0; k < keepers; k++) {
                String host = hosts.get((i * keepers + k) % HOSTS);
                entries.put(host, new KeeperEntry(1_790_000_000_000L, "d" + k % 7, "10.0.0.1:7000", 1_000));
                of.put(host, new Quota(71_428, 714_285, 71_428, 714_285, true, false));
            }
            quotas.put("organisation-" + i, of);
        }
        return new QuotaDocument(100_000, entries, quotas);
    }
}
