package org.gooseberryring.coordination.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Chooses the hosts that a host sends its state to.
 *
 * <p>The hosts of a failure domain have a fixed order. A host sends to the first one that answers, and to those before it
 * that do not answer any more, so that it returns to them once they do. A host before which none answers relays for its
 * failure domain: it also sends to the relays of the others.
 */
final class RelayChoice {
    private final ExchangeMember self;
    private final Map<String, TreeSet<ExchangeMember>> byDomain = new TreeMap<>();
    private final Map<String, ExchangeMember> members = new TreeMap<>();

    RelayChoice(ExchangeMember self) {
        this.self = self;
        addOrUpdate(self);
    }

    /** Adds a host or takes over what has changed of it. */
    void addOrUpdate(ExchangeMember member) {
        remove(member.host());
        members.put(member.host(), member);
        byDomain.computeIfAbsent(member.failureDomain(), domain -> new TreeSet<>(ExchangeMember.RELAY_ORDER))
                .add(member);
    }

    /** Takes a host out. */
    void remove(String host) {
        ExchangeMember old = members.remove(host);
        if (old != null) {
            byDomain.get(old.failureDomain()).remove(old);
        }
    }

    /** Returns the failure domain of a host, or null if the host is not known. */
    String failureDomain(String host) {
        ExchangeMember member = members.get(host);
        return member == null ? null : member.failureDomain();
    }

    /** Returns the other failure domains that have hosts. */
    List<String> otherDomains() {
        List<String> others = new ArrayList<>();
        byDomain.forEach((domain, hosts) -> {
            if (!domain.equals(self.failureDomain()) && !hosts.isEmpty()) {
                others.add(domain);
            }
        });
        return others;
    }

    /** Returns the hosts of the own failure domain that come before this one. */
    List<String> before() {
        List<String> before = new ArrayList<>();
        for (ExchangeMember member : byDomain.get(self.failureDomain()).headSet(self)) {
            before.add(member.host());
        }
        return before;
    }

    /** Returns whether one of the hosts before this one in its failure domain may relay for it. */
    boolean hasRelay(Predicate<String> mayAnswer) {
        return before().stream().anyMatch(mayAnswer);
    }

    /** Returns the hosts of a failure domain to send to: those in order up to the first one that answers. */
    List<String> upToFirst(String domain, Predicate<String> answers) {
        List<String> chosen = new ArrayList<>();
        for (ExchangeMember member : byDomain.get(domain)) {
            if (member.equals(self)) {
                break;
            }
            chosen.add(member.host());
            if (answers.test(member.host())) {
                break;
            }
        }
        return chosen;
    }
}
