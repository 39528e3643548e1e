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
 * Transitions of the allotment document. Each returns a new document, which takes effect by a conditional update.
 *
 * <p>The sum over the keepers never exceeds an organisation's rate and burst, except where the configuration lowered
 * them below what keepers still hold. An allotment counts in full until its keeper has confirmed a reduction.
 */
public final class AllotmentPlan {
    // Separates a host from the incarnation under which allotments of a process at another address are kept.
    private static final String RETIRED = "@";

    private AllotmentPlan() {}

    /**
     * Registers a host as keeper. A process that starts at the address of an earlier one takes over its allotments,
     * because the earlier process has certainly ended.
     *
     * @return the new document, or the same one if a later incarnation of the host is registered
     */
    public static AllotmentDocument register(AllotmentDocument document, String host, KeeperEntry entry) {
        KeeperEntry present = document.keepers().get(host);
        if (present != null && present.incarnation() > entry.incarnation()) {
            return document;
        }
        Draft draft = new Draft(document);
        boolean sameAddress = present == null || present.address().equals(entry.address());
        if (present != null && present.incarnation() < entry.incarnation() && !sameAddress) {
            // The earlier process may still run at its old address, so its allotments wait under another name.
            draft.rename(host, host + RETIRED + present.incarnation());
        }
        for (Map.Entry<String, KeeperEntry> other : document.keepers().entrySet()) {
            boolean sameProcess =
                    other.getKey().equals(host) && other.getValue().incarnation() == entry.incarnation();
            if (!sameProcess && other.getValue().address().equals(entry.address())) {
                draft.rename(other.getKey(), host);
            }
        }
        draft.keepers.put(host, entry);
        return draft.build();
    }

    /** Makes a registered host a keeper of an organisation, or takes back its withdrawal. */
    public static AllotmentDocument join(AllotmentDocument document, String organisation, String host) {
        Draft draft = new Draft(document);
        draft.allotments(organisation).merge(host, Allotment.none(), (present, none) -> present.withdraw(false));
        return draft.build();
    }

    /** Marks a keeper's allotment as given up, so that it is lowered to nothing and removed. */
    public static AllotmentDocument withdraw(AllotmentDocument document, String organisation, String host) {
        Draft draft = new Draft(document);
        draft.allotments(organisation)
                .computeIfPresent(
                        host, (name, present) -> present.withdraw(true).lowered(0, 0));
        return draft.build();
    }

    /** Confirms the reduction of a keeper's allotment; only the keeper itself may do so. */
    public static AllotmentDocument confirm(AllotmentDocument document, String organisation, String host) {
        Draft draft = new Draft(document);
        draft.allotments(organisation).computeIfPresent(host, (name, present) -> present.confirm());
        return draft.build();
    }

    /** Renews a keeper's confirmation. */
    public static AllotmentDocument renew(AllotmentDocument document, String host, long confirmation) {
        Draft draft = new Draft(document);
        draft.keepers.computeIfPresent(
                host,
                (name, entry) ->
                        new KeeperEntry(entry.incarnation(), entry.failureDomain(), entry.address(), confirmation));
        return draft.build();
    }

    /** Returns whether a name stands for the allotments of an earlier process at another address. */
    static boolean retired(String host) {
        return host.contains(RETIRED);
    }

    /** Removes a keeper whose confirmation is older than the reclaim time, with all its allotments. */
    public static AllotmentDocument reclaim(AllotmentDocument document, String host) {
        Draft draft = new Draft(document);
        draft.organisations.values().forEach(allotments -> allotments.remove(host));
        draft.keepers.remove(host);
        return draft.build();
    }

    /**
     * Moves allotments towards equal shares: lowers targets first, and raises only within what is free.
     *
     * @param revision revision of the configuration that brought the present rates and bursts
     * @param organisations configured organisations by identifier
     */
    public static AllotmentDocument rebalance(
            AllotmentDocument document, long revision, Map<String, Organisation> organisations) {
        Draft draft = new Draft(document);
        draft.revision = Math.max(draft.revision, revision);
        for (Map.Entry<String, TreeMap<String, Allotment>> entry : draft.organisations.entrySet()) {
            Organisation organisation = organisations.get(entry.getKey());
            long rate = organisation == null ? 0 : Math.max(0, organisation.rateTokensPerSecond());
            long burst = organisation == null ? 0 : Math.max(0, organisation.burstTokens());
            balance(entry.getValue(), rate, burst);
        }
        draft.dropIdleKeepers();
        return draft.build();
    }

    /** Joins an organisation that the document does not know yet, whose first keeper starts with a full burst. */
    public static AllotmentDocument found(
            AllotmentDocument document, long revision, Organisation organisation, String host) {
        if (document.organisations().containsKey(organisation.id())) {
            return join(document, organisation.id(), host);
        }
        Draft draft = new Draft(document);
        draft.revision = Math.max(draft.revision, revision);
        draft.allotments(organisation.id())
                .put(
                        host,
                        Allotment.none()
                                .raised(
                                        Math.max(0, organisation.rateTokensPerSecond()),
                                        Math.max(0, organisation.burstTokens()),
                                        true));
        return draft.build();
    }

    private static void balance(TreeMap<String, Allotment> allotments, long rate, long burst) {
        List<String> keepers = new ArrayList<>();
        allotments.forEach((host, allotment) -> {
            if (!allotment.withdrawn()) {
                keepers.add(host);
            }
        });
        long freeRate = rate;
        long freeBurst = burst;
        for (Map.Entry<String, Allotment> entry : allotments.entrySet()) {
            int index = keepers.indexOf(entry.getKey());
            entry.setValue(
                    entry.getValue().lowered(share(rate, keepers.size(), index), share(burst, keepers.size(), index)));
            freeRate -= entry.getValue().rate();
            freeBurst -= entry.getValue().burst();
        }
        for (int i = 0; i < keepers.size(); i++) {
            Allotment allotment = allotments.get(keepers.get(i));
            if (allotment.confirmed()) {
                long byRate = within(share(rate, keepers.size(), i) - allotment.rate(), freeRate);
                long byBurst = within(share(burst, keepers.size(), i) - allotment.burst(), freeBurst);
                freeRate -= byRate;
                freeBurst -= byBurst;
                allotments.put(keepers.get(i), allotment.raised(byRate, byBurst, false));
            }
        }
        allotments.values().removeIf(allotment -> allotment.withdrawn() && allotment.empty());
    }

    private static long share(long total, int keepers, int index) {
        return index < 0 ? 0 : total / keepers + (index < total % keepers ? 1 : 0);
    }

    private static long within(long wanted, long free) {
        return Math.max(0, Math.min(wanted, free));
    }

    private static Allotment sum(Allotment a, Allotment b) {
        return new Allotment(
                a.rate() + b.rate(),
                a.burst() + b.burst(),
                a.targetRate() + b.targetRate(),
                a.targetBurst() + b.targetBurst(),
                false,
                a.withdrawn() && b.withdrawn());
    }

    /** Mutable copy of a document. */
    private static final class Draft {
        private final TreeMap<String, KeeperEntry> keepers;
        private long revision;
        private final TreeMap<String, TreeMap<String, Allotment>> organisations = new TreeMap<>();

        private Draft(AllotmentDocument document) {
            revision = document.revision();
            keepers = new TreeMap<>(document.keepers());
            document.organisations()
                    .forEach((organisation, allotments) -> organisations.put(organisation, new TreeMap<>(allotments)));
        }

        private TreeMap<String, Allotment> allotments(String organisation) {
            return organisations.computeIfAbsent(organisation, name -> new TreeMap<>());
        }

        private void rename(String from, String to) {
            KeeperEntry entry = keepers.remove(from);
            if (entry != null && !from.equals(to)) {
                keepers.put(to, entry);
            }
            for (TreeMap<String, Allotment> allotments : organisations.values()) {
                Allotment moved = allotments.remove(from);
                if (moved != null) {
                    Allotment inherited =
                            to.contains(RETIRED) ? moved.inherited().withdraw(true) : moved.inherited();
                    allotments.merge(to, inherited, AllotmentPlan::sum);
                }
            }
        }

        private AllotmentDocument build() {
            SortedMap<String, SortedMap<String, Allotment>> result = new TreeMap<>(organisations);
            return new AllotmentDocument(revision, keepers, result);
        }

        private void dropIdleKeepers() {
            Set<String> hosts = new HashSet<>();
            organisations.values().forEach(allotments -> hosts.addAll(allotments.keySet()));
            keepers.keySet().retainAll(hosts);
        }
    }
}
