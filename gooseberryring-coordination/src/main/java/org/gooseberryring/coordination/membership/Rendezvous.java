package org.gooseberryring.coordination.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Selects hosts or endpoints by rendezvous hashing, so that few selections change when one is added or removed. */
public final class Rendezvous {
    private Rendezvous() {}

    /**
     * Returns the candidates with the highest scores, best first.
     *
     * @param candidates identifiers to select from
     * @param role purpose of the selection; each role has its own order
     * @param count maximum number to return
     */
    public static List<String> top(Collection<String> candidates, String role, int count) {
        MessageDigest digest = sha256();
        List<Scored> scored = new ArrayList<>(candidates.size());
        for (String candidate : candidates) {
            scored.add(new Scored(candidate, score(digest, candidate, role)));
        }
        scored.sort(Comparator.comparingLong(Scored::score).reversed().thenComparing(Scored::candidate));
        return scored.stream().limit(count).map(Scored::candidate).toList();
    }

    /**
     * Returns whether a host is the one that is selected for a role among the hosts that are alive. Hosts that see the same
     * hosts alive select the same one.
     *
     * @param self the host
     * @param ages milliseconds since each other host was last seen
     * @param liveMillis age up to which another host counts as alive
     * @param role purpose of the selection
     */
    public static boolean isFirstAlive(String self, Map<String, Long> ages, long liveMillis, String role) {
        List<String> live = new ArrayList<>();
        live.add(self);
        ages.forEach((host, age) -> {
            if (age <= liveMillis) {
                live.add(host);
            }
        });
        return top(live, role, 1).get(0).equals(self);
    }

    private static long score(MessageDigest digest, String candidate, String role) {
        digest.update(role.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        return ByteBuffer.wrap(digest.digest(candidate.getBytes(StandardCharsets.UTF_8)))
                .getLong();
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java platform has SHA-256", e);
        }
    }

    private record Scored(String candidate, long score) {}
}
