package org.gooseberryring.coordination.limit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.gooseberryring.state.Organisation;

/**
 * Transitions of the quota document. Each returns a new document, which takes effect by a conditional write.
 *
 * <p>The sum over the keepers never exceeds an organisation's rate and burst, unless the configuration has lowered them
 * below the quotas that are still in use. A quota counts in full until its keeper has confirmed the reduction.
 */
public final class QuotaPlan {
    // Separates a host from an incarnation in the name that stores the quotas of an earlier process at another address.
    private static final String RETIRED = "@";

    // Name that stores the part of a new organisation's quota that no keeper has claimed yet.
    private static final String RESERVE = RETIRED + "reserve";

    private QuotaPlan() {}

    /**
     * Registers a host as a keeper. A process that starts at the address of an earlier one inherits its quotas, because
     * the earlier process must have ended.
     *
     * @return the new document, or the same document if a later incarnation of the host is registered
     */
    public static QuotaDocument register(QuotaDocument document, String host, KeeperEntry entry) {
        KeeperEntry current = document.keepers().get(host);
        if (current != null && current.incarnation() > entry.incarnation()) {
            return document;
        }
        MutableQuotaDocument copy = new MutableQuotaDocument(document);
        boolean sameAddress = current == null || current.address().equals(entry.address());
        if (current != null && current.incarnation() < entry.incarnation() && !sameAddress) {
            // The earlier process may still run at its old address, so its quotas are retained under another name.
            copy.rename(host, host + RETIRED + current.incarnation());
        }
        for (Map.Entry<String, KeeperEntry> other : document.keepers().entrySet()) {
            boolean sameProcess =
                    other.getKey().equals(host) && other.getValue().incarnation() == entry.incarnation();
            if (!sameProcess && other.getValue().address().equals(entry.address())) {
                copy.rename(other.getKey(), host);
            }
        }
        copy.keepers.put(host, entry);
        return copy.build();
    }

    /** Makes a registered host a keeper of an organisation, or cancels its withdrawal. */
    public static QuotaDocument join(QuotaDocument document, String organisation, String host) {
        MutableQuotaDocument copy = new MutableQuotaDocument(document);
        copy.quotas(organisation).merge(host, Quota.none(), (current, none) -> current.withdraw(false));
        return copy.build();
    }

    /** Marks a keeper's quota as withdrawn, so that it is lowered to zero and removed. */
    public static QuotaDocument withdraw(QuotaDocument document, String organisation, String host) {
        MutableQuotaDocument copy = new MutableQuotaDocument(document);
        copy.quotas(organisation)
                .computeIfPresent(
                        host, (name, current) -> current.withdraw(true).lowered(0, 0));
        return copy.build();
    }

    /** Confirms the reduction of a keeper's quota; only the keeper itself may do so. */
    public static QuotaDocument confirm(QuotaDocument document, String organisation, String host) {
        MutableQuotaDocument copy = new MutableQuotaDocument(document);
        copy.quotas(organisation).computeIfPresent(host, (name, current) -> current.confirm());
        return copy.build();
    }

    /** Renews a keeper's confirmation. */
    public static QuotaDocument renew(QuotaDocument document, String host, long confirmation) {
        MutableQuotaDocument copy = new MutableQuotaDocument(document);
        copy.keepers.computeIfPresent(
                host,
                (name, entry) ->
                        new KeeperEntry(entry.incarnation(), entry.failureDomain(), entry.address(), confirmation));
        return copy.build();
    }

    /** Returns whether a name represents the quotas of an earlier process at another address. */
    static boolean isRetired(String host) {
        return host.contains(RETIRED);
    }

    /** Removes a keeper whose confirmation is older than the reclaim time, including all its quotas. */
    public static QuotaDocument reclaim(QuotaDocument document, String host) {
        MutableQuotaDocument copy = new MutableQuotaDocument(document);
        copy.organisations.values().forEach(quotas -> quotas.remove(host));
        copy.keepers.remove(host);
        return copy.build();
    }

    /**
     * Rebalances quotas towards equal shares. Lowers targets first and raises quotas only by what is free.
     *
     * @param revision configuration revision that set the current rates and bursts
     * @param organisations configured organisations by identifier
     */
    public static QuotaDocument rebalance(
            QuotaDocument document, long revision, Map<String, Organisation> organisations) {
        MutableQuotaDocument copy = new MutableQuotaDocument(document);
        copy.revision = Math.max(copy.revision, revision);
        for (Map.Entry<String, TreeMap<String, Quota>> entry : copy.organisations.entrySet()) {
            Organisation organisation = organisations.get(entry.getKey());
            long rate = organisation == null ? 0 : Math.max(0, organisation.rateTokensPerSecond());
            long burst = organisation == null ? 0 : Math.max(0, organisation.burstTokens());
            balance(entry.getValue(), rate, burst);
        }
        copy.removeIdleKeepers();
        return copy.build();
    }

    /**
     * Makes a host a keeper of an organisation. A new organisation starts with the share of the first keeper. The
     * remainder is reserved for the other expected keepers, each of which starts with a full share. The other keepers
     * therefore get their shares even if the first keeper is lost.
     *
     * @param expected number of expected keepers, including this one
     */
    public static QuotaDocument joinOrCreate(
            QuotaDocument document, long revision, Organisation organisation, String host, int expected) {
        long rate = Math.max(0, organisation.rateTokensPerSecond());
        long burst = Math.max(0, organisation.burstTokens());
        MutableQuotaDocument copy = new MutableQuotaDocument(document);
        TreeMap<String, Quota> quotas = copy.quotas(organisation.id());
        if (!document.organisations().containsKey(organisation.id())) {
            copy.revision = Math.max(copy.revision, revision);
            quotas.put(RESERVE, Quota.none().raised(rate, burst, true));
        }
        Quota reserve = quotas.get(RESERVE);
        if (reserve == null || quotas.containsKey(host)) {
            return join(document, organisation.id(), host);
        }
        long byRate = Math.min(reserve.rate(), share(rate, expected, 0));
        long byBurst = Math.min(reserve.burst(), share(burst, expected, 0));
        quotas.put(host, Quota.none().raised(byRate, byBurst, true));
        quotas.put(RESERVE, Quota.none().raised(reserve.rate() - byRate, reserve.burst() - byBurst, true));
        if (quotas.get(RESERVE).empty()) {
            quotas.remove(RESERVE);
        }
        return copy.build();
    }

    /** Returns whether a part of any organisation's quota is reserved for keepers that have not joined yet. */
    static boolean hasReserve(QuotaDocument document) {
        return document.organisations().values().stream().anyMatch(quotas -> quotas.containsKey(RESERVE));
    }

    /** Releases the reserved quotas, so that the current keepers share them. */
    static QuotaDocument releaseReserve(QuotaDocument document) {
        MutableQuotaDocument copy = new MutableQuotaDocument(document);
        copy.organisations.values().forEach(quotas -> quotas.remove(RESERVE));
        return copy.build();
    }

    private static void balance(TreeMap<String, Quota> quotas, long rate, long burst) {
        List<String> keepers = new ArrayList<>();
        quotas.forEach((host, quota) -> {
            if (!quota.withdrawn() && !host.equals(RESERVE)) {
                keepers.add(host);
            }
        });
        long freeRate = rate;
        long freeBurst = burst;
        for (Map.Entry<String, Quota> entry : quotas.entrySet()) {
            if (!entry.getKey().equals(RESERVE)) {
                int index = keepers.indexOf(entry.getKey());
                entry.setValue(entry.getValue()
                        .lowered(share(rate, keepers.size(), index), share(burst, keepers.size(), index)));
            }
            freeRate -= entry.getValue().rate();
            freeBurst -= entry.getValue().burst();
        }
        for (int i = 0; i < keepers.size(); i++) {
            Quota quota = quotas.get(keepers.get(i));
            if (quota.confirmed()) {
                long byRate = clampToFree(share(rate, keepers.size(), i) - quota.rate(), freeRate);
                long byBurst = clampToFree(share(burst, keepers.size(), i) - quota.burst(), freeBurst);
                freeRate -= byRate;
                freeBurst -= byBurst;
                quotas.put(keepers.get(i), quota.raised(byRate, byBurst, false));
            }
        }
        quotas.values().removeIf(quota -> quota.withdrawn() && quota.empty());
    }

    private static long share(long total, int keepers, int index) {
        return index < 0 ? 0 : total / keepers + (index < total % keepers ? 1 : 0);
    }

    private static long clampToFree(long requested, long free) {
        return Math.max(0, Math.min(requested, free));
    }

    private static Quota sum(Quota a, Quota b) {
        return new Quota(
                a.rate() + b.rate(),
                a.burst() + b.burst(),
                a.targetRate() + b.targetRate(),
                a.targetBurst() + b.targetBurst(),
                false,
                a.withdrawn() && b.withdrawn());
    }

    /** Mutable copy of a document. */
    private static final class MutableQuotaDocument {
        private final TreeMap<String, KeeperEntry> keepers;
        private long revision;
        private final TreeMap<String, TreeMap<String, Quota>> organisations = new TreeMap<>();

        private MutableQuotaDocument(QuotaDocument document) {
            revision = document.revision();
            keepers = new TreeMap<>(document.keepers());
            document.organisations()
                    .forEach((organisation, quotas) -> organisations.put(organisation, new TreeMap<>(quotas)));
        }

        private TreeMap<String, Quota> quotas(String organisation) {
            return organisations.computeIfAbsent(organisation, name -> new TreeMap<>());
        }

        private void rename(String from, String to) {
            KeeperEntry entry = keepers.remove(from);
            if (entry != null && !from.equals(to)) {
                keepers.put(to, entry);
            }
            for (TreeMap<String, Quota> quotas : organisations.values()) {
                Quota moved = quotas.remove(from);
                if (moved != null) {
                    Quota inherited = to.contains(RETIRED) ? moved.inherited().withdraw(true) : moved.inherited();
                    quotas.merge(to, inherited, QuotaPlan::sum);
                }
            }
        }

        private QuotaDocument build() {
            SortedMap<String, SortedMap<String, Quota>> result = new TreeMap<>(organisations);
            return new QuotaDocument(revision, keepers, result);
        }

        private void removeIdleKeepers() {
            Set<String> hosts = new HashSet<>();
            organisations.values().forEach(quotas -> hosts.addAll(quotas.keySet()));
            keepers.keySet().retainAll(hosts);
        }
    }
}
