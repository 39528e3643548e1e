package org.gooseberryring.coordination.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Chooses hosts for a role by rendezvous hashing, so that few choices change when a host comes or goes. */
public final class Rendezvous {
    private Rendezvous() {}

    /**
     * Returns the hosts with the highest scores, best first.
     *
     * @param hosts host identifiers to choose from
     * @param role name of the role
     * @param count largest number of hosts to return
     */
    public static List<String> top(Collection<String> hosts, String role, int count) {
        MessageDigest digest = sha256();
        List<Scored> scored = new ArrayList<>(hosts.size());
        for (String host : hosts) {
            scored.add(new Scored(host, score(digest, host, role)));
        }
        scored.sort(Comparator.comparingLong(Scored::score).reversed().thenComparing(Scored::host));
        return scored.stream().limit(count).map(Scored::host).toList();
    }

    private static long score(MessageDigest digest, String host, String role) {
        digest.update(role.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        return ByteBuffer.wrap(digest.digest(host.getBytes(StandardCharsets.UTF_8)))
                .getLong();
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java platform has SHA-256", e);
        }
    }

    private record Scored(String host, long score) {}
}
