package org.gooseberryring.coordination.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Selects the hosts that a host sends its state to.
 *
 * <p>The hosts of a failure domain have a fixed order. A host sends to the first responsive host and to the unresponsive
 * hosts before it, so that it returns to these once they respond again. A host without a responsive host before it is the
 * relay of its failure domain: it also sends to the relays of the other failure domains.
 */
final class RelayChoice {
    private final ExchangeMember self;
    private final Map<String, TreeSet<ExchangeMember>> byDomain = new TreeMap<>();
    private final Map<String, ExchangeMember> members = new TreeMap<>();

    RelayChoice(ExchangeMember self) {
        this.self = self;
        addOrUpdate(self);
    }

    /** Adds a host or updates it. */
    void addOrUpdate(ExchangeMember member) {
        remove(member.host());
        members.put(member.host(), member);
        byDomain.computeIfAbsent(member.failureDomain(), domain -> new TreeSet<>(ExchangeMember.RELAY_ORDER))
                .add(member);
    }

    /** Removes a host. */
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

    /** Returns the other failure domains that have at least one host. */
    List<String> otherDomains() {
        List<String> others = new ArrayList<>();
        byDomain.forEach((domain, hosts) -> {
            if (!domain.equals(self.failureDomain()) && !hosts.isEmpty()) {
                others.add(domain);
            }
        });
        return others;
    }

    /** Returns the hosts that precede this one in its failure domain. */
    List<String> precedingHosts() {
        List<String> precedingHosts = new ArrayList<>();
        for (ExchangeMember member : byDomain.get(self.failureDomain()).headSet(self)) {
            precedingHosts.add(member.host());
        }
        return precedingHosts;
    }

    /** Returns whether one of the hosts that precede this one in its failure domain may be its relay. */
    boolean hasRelay(Predicate<String> mayBeResponsive) {
        return precedingHosts().stream().anyMatch(mayBeResponsive);
    }

    /** Returns the hosts of a failure domain to send to, in order up to the first responsive one. */
    List<String> hostsUpToFirst(String domain, Predicate<String> isResponsive) {
        List<String> selected = new ArrayList<>();
        for (ExchangeMember member : byDomain.get(domain)) {
            if (member.equals(self)) {
                break;
            }
            selected.add(member.host());
            if (isResponsive.test(member.host())) {
                break;
            }
        }
        return selected;
    }
}
