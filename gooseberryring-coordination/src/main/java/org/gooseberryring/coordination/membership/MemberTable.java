package org.gooseberryring.coordination.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Hosts that this host knows, with the newest knowledge about each.
 *
 * <p>The table is a hint for routing and for the choice of helpers. Nothing that must hold depends on it.
 */
public final class MemberTable {
    private static final String RELAY_ROLE = "domain-relay/";

    private final SortedMap<String, Member> members = new TreeMap<>();
    private final SortedMap<String, Long> deadSince = new TreeMap<>();
    private final SortedMap<String, Member> tombstones = new TreeMap<>();

    /** Returns the member, or null if it is unknown or forgotten. */
    public Member get(String host) {
        return members.get(host);
    }

    /** Returns all known members, also dead ones that are not yet forgotten. */
    public Collection<Member> all() {
        return Collections.unmodifiableCollection(members.values());
    }

    /** Returns the members that requests may be sent to, of one failure domain or of all if it is null. */
    public List<Member> reachable(String failureDomain) {
        List<Member> result = new ArrayList<>();
        for (Member m : members.values()) {
            if (m.reachable() && (failureDomain == null || m.failureDomain().equals(failureDomain))) {
                result.add(m);
            }
        }
        return result;
    }

    /** Returns the relays of a failure domain: the hosts that exchange summaries with other failure domains. */
    public List<String> relays(String failureDomain, int count) {
        List<String> hosts = reachable(failureDomain).stream().map(Member::host).toList();
        return Rendezvous.top(hosts, RELAY_ROLE + failureDomain, count);
    }

    /**
     * Takes knowledge about a host.
     *
     * @return whether it was new
     */
    public boolean apply(Member update, long now) {
        Member old = members.containsKey(update.host()) ? members.get(update.host()) : tombstones.get(update.host());
        if (old != null && !update.supersedes(old)) {
            return false;
        }
        if (old == null && update.state() == MemberState.DEAD) {
            return false; // The death of a host that was never known is of no use.
        }
        members.put(update.host(), update);
        tombstones.remove(update.host());
        if (update.state() == MemberState.DEAD) {
            deadSince.put(update.host(), now);
        } else {
            deadSince.remove(update.host());
        }
        return true;
    }

    /**
     * Forgets hosts that died long ago; a small record stays, so that late gossip does not bring them back.
     *
     * @param forgetMillis time after which a dead host leaves the table
     * @param tombstoneLimit largest number of records of forgotten hosts
     */
    public void forget(long now, long forgetMillis, int tombstoneLimit) {
        deadSince.entrySet().removeIf(dead -> {
            boolean old = now - dead.getValue() >= forgetMillis;
            if (old) {
                tombstones.put(dead.getKey(), members.remove(dead.getKey()));
            }
            return old;
        });
        while (tombstones.size() > tombstoneLimit) {
            tombstones.remove(tombstones.firstKey());
        }
    }
}
