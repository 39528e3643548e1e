package org.gooseberryring.coordination.ratelimit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberryring.coordination.membership.Rendezvous;
import org.gooseberryring.state.EndpointProcess;

/** Chooses the host that issues the permits of an endpoint; hosts that see the same hosts alive choose the same one. */
public final class IssuerChoice {
    /** Time since a host was last seen up to which it may issue permits. Live hosts are seen several times in it. */
    private static final long LIVE_MILLIS = 1_000;

    /** Time after its start during which a host may not have seen all registered hosts yet. */
    private static final long STARTUP_MILLIS = 2_000;

    /** Time after the return of a silent host during which another silence means that it is slow, not gone. */
    private static final long SLOW_MILLIS = 10_000;

    /**
     * Part of a limit that is issued in place of a slow host. That host still issues to those that see it, and the two
     * together stay within the tolerance of a limit.
     */
    private static final double SUBSTITUTE_SHARE = 0.5;

    private final String self;
    private final long startedAt;
    private final Set<String> silent = new HashSet<>();
    private final Map<String, Long> returnedAt = new HashMap<>();

    /** Creates the choice of a host that starts now. */
    public IssuerChoice(String self, long now) {
        this.self = self;
        this.startedAt = now;
    }

    /**
     * Records which hosts are silent; called several times a second.
     *
     * @param ages milliseconds since each other known host was last seen
     */
    public void observe(Map<String, Long> ages, long now) {
        returnedAt.values().removeIf(at -> now - at > SLOW_MILLIS);
        silent.retainAll(ages.keySet());
        ages.forEach((host, age) -> {
            if (age > LIVE_MILLIS) {
                silent.add(host);
            } else if (silent.remove(host)) {
                returnedAt.put(host, now);
            }
        });
    }

    /** Returns the issuer of a process; {@code ages} has the milliseconds since each other known host was last seen. */
    public String issuer(EndpointProcess process, Map<String, Long> ages) {
        return first(process, live(ages));
    }

    /**
     * Returns the part of the limit of a process that this host may issue, 0 if another host is its issuer. A host that
     * has fallen silent, or that this one has not seen yet, may be alive and may have chosen another issuer.
     *
     * @param registered number of other hosts that are registered; not all of them need to be alive
     */
    public double share(EndpointProcess process, Map<String, Long> ages, int registered, long now) {
        List<String> candidates = live(ages);
        if (!first(process, candidates).equals(self)) {
            return 0;
        }
        int known = now - startedAt < STARTUP_MILLIS ? Math.max(ages.size(), registered) : ages.size();
        double part = (double) candidates.size() / (known + 1);
        silent.stream().filter(returnedAt::containsKey).forEach(candidates::add);
        return first(process, candidates).equals(self) ? part : Math.min(SUBSTITUTE_SHARE, part);
    }

    /** Returns the hosts that are alive, this one included. */
    public List<String> live(Map<String, Long> ages) {
        List<String> live = new ArrayList<>();
        live.add(self);
        ages.forEach((host, age) -> {
            if (age <= LIVE_MILLIS) {
                live.add(host);
            }
        });
        return live;
    }

    private static String first(EndpointProcess process, List<String> hosts) {
        return Rendezvous.top(hosts, process.endpoint(), 1).get(0);
    }
}
