package org.gooseberryring.host.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.protocol.peer.HealthReply;
import org.gooseberryring.protocol.peer.HealthRequest;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.jboss.logging.Logger;

/**
 * Asks other hosts whether an endpoint is alive that this host does not reach, because a lost path looks like a crash.
 *
 * <p>Not thread-safe; used on the control thread only.
 */
final class PeerHealth {
    private static final Logger LOG = Logger.getLogger(PeerHealth.class);

    /** Number of hosts that are asked. */
    private static final int MAX_HOSTS = 2;

    /** Time for the replies; a host that gets no response from the endpoint replies after 400 ms. */
    private static final long REPLY_MILLIS = 1_000;

    private final BiFunction<Integer, Long, List<String>> hosts;
    private final Sender sender;
    private final LocalCheck localCheck;
    private final Map<Long, Pending> pending = new HashMap<>();
    private long lastNumber;

    /** Sends messages to other hosts. */
    @FunctionalInterface
    interface Sender {
        void send(String host, PeerMessage.Builder message);
    }

    /** Checks whether an endpoint is alive over this host's own path; the future fails if the endpoint is not registered. */
    @FunctionalInterface
    interface LocalCheck {
        CompletableFuture<Boolean> isAlive(String endpoint);
    }

    private static final class Pending {
        private final String endpoint;
        private final CompletableFuture<Boolean> alive = new CompletableFuture<>();
        private final long until;
        private int awaited;
        private int replies;

        private Pending(String endpoint, int awaited, long until) {
            this.endpoint = endpoint;
            this.awaited = awaited;
            this.until = until;
        }
    }

    /**
     * Creates the checks.
     *
     * @param hosts returns at most the given number of live hosts that are not isolated, at the given time
     */
    PeerHealth(BiFunction<Integer, Long, List<String>> hosts, Sender sender, LocalCheck localCheck) {
        this.hosts = hosts;
        this.sender = sender;
        this.localCheck = localCheck;
    }

    /**
     * Asks other hosts whether an endpoint is alive.
     *
     * @param isolated whether this host reaches no endpoint, so that its own failure says nothing
     * @return whether one of them reaches it; if none replies, whether this host is isolated
     */
    CompletableFuture<Boolean> isAlive(String endpoint, boolean isolated, long now) {
        List<String> asked = hosts.apply(MAX_HOSTS, now);
        if (asked.isEmpty()) {
            return CompletableFuture.completedFuture(isolated);
        }
        lastNumber++;
        Pending check = new Pending(endpoint, asked.size(), now + REPLY_MILLIS);
        pending.put(lastNumber, check);
        HealthRequest request = HealthRequest.newBuilder()
                .setNumber(lastNumber)
                .setEndpoint(endpoint)
                .build();
        asked.forEach(host -> sender.send(host, PeerMessage.newBuilder().setHealthRequest(request)));
        return check.alive.thenApply(alive -> alive || isolated && check.replies == 0);
    }

    /** Handles the request of another host. */
    void onRequest(String host, HealthRequest request) {
        localCheck.isAlive(request.getEndpoint()).thenAccept(alive -> {
            HealthReply reply = HealthReply.newBuilder()
                    .setNumber(request.getNumber())
                    .setAlive(alive)
                    .build();
            sender.send(host, PeerMessage.newBuilder().setHealthReply(reply));
        });
    }

    /** Handles the reply of another host; one host that reaches the endpoint is enough. */
    void onReply(HealthReply reply) {
        Pending check = pending.get(reply.getNumber());
        if (check == null) {
            return;
        }
        check.awaited--;
        check.replies++;
        if (reply.getAlive() || check.awaited == 0) {
            pending.remove(reply.getNumber());
            complete(check, reply.getAlive());
        }
    }

    /** Ends the checks whose replies are overdue. */
    void tick(long now) {
        pending.values().removeIf(check -> {
            boolean overdue = now >= check.until;
            if (overdue) {
                complete(check, false);
            }
            return overdue;
        });
    }

    private static void complete(Pending check, boolean alive) {
        LogLine.event("endpoint-checked-by-peers")
                .with("endpoint", check.endpoint)
                .with("alive", alive)
                .with("replies", check.replies)
                .info(LOG);
        check.alive.complete(alive);
    }
}
