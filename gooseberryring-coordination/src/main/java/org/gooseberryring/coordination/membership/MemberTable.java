package org.gooseberryring.coordination.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Hosts that this host knows, with the newest known state of each.
 *
 * <p>The table is a hint for routing and for the selection of relays and probing hosts. No safety guarantee depends on it.
 */
public final class MemberTable {
    private static final String RELAY_ROLE = "domain-relay/";

    private final SortedMap<String, Member> members = new TreeMap<>();
    private final SortedMap<String, Long> deadSince = new TreeMap<>();
    private final SortedMap<String, Member> tombstones = new TreeMap<>();

    /** Returns the member, or null if it is unknown or was removed. */
    public Member get(String host) {
        return members.get(host);
    }

    /** Returns all known members, including dead ones that are not yet removed. */
    public Collection<Member> all() {
        return Collections.unmodifiableCollection(members.values());
    }

    /** Returns the members that requests may be sent to, of one failure domain or of all if it is null. */
    public List<Member> reachableMembers(String failureDomain) {
        List<Member> result = new ArrayList<>();
        for (Member m : members.values()) {
            if (m.isReachable() && (failureDomain == null || m.failureDomain().equals(failureDomain))) {
                result.add(m);
            }
        }
        return result;
    }

    /** Returns the relays of a failure domain: the hosts that exchange summaries with other failure domains. */
    public List<String> relays(String failureDomain, int count) {
        List<String> hosts =
                reachableMembers(failureDomain).stream().map(Member::host).toList();
        return Rendezvous.top(hosts, RELAY_ROLE + failureDomain, count);
    }

    /**
     * Applies an update of a host.
     *
     * @return whether the update was new
     */
    public boolean apply(Member update, long now) {
        Member previous =
                members.containsKey(update.host()) ? members.get(update.host()) : tombstones.get(update.host());
        if (previous != null && !update.supersedes(previous)) {
            return false;
        }
        if (previous == null && update.state() == MemberState.DEAD) {
            return false; // The death of an unknown host is irrelevant.
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
     * Removes hosts that have been dead for the given time; a tombstone remains, so that delayed gossip does not add them
     * again.
     *
     * @param deadRetentionMillis time after which a dead host is removed from the table
     * @param tombstoneLimit maximum number of tombstones
     */
    public void removeExpired(long now, long deadRetentionMillis, int tombstoneLimit) {
        deadSince.entrySet().removeIf(dead -> {
            boolean expired = now - dead.getValue() >= deadRetentionMillis;
            if (expired) {
                tombstones.put(dead.getKey(), members.remove(dead.getKey()));
            }
            return expired;
        });
        while (tombstones.size() > tombstoneLimit) {
            tombstones.remove(tombstones.firstKey());
        }
    }
}
