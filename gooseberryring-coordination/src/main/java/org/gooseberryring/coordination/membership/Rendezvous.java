package org.gooseberryring.coordination.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

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
