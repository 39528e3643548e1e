package org.gooseberryring.coordination.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.state.Organisation;

/**
 * Maintains this host's part of the store object {@code limits/quotas}: registers the host as a keeper of the
 * organisations for which rendezvous hashing selects it, confirms reductions, renews its confirmation, and rebalances
 * quotas towards equal shares.
 *
 * <p>At most one store call is in flight. The host passes every reply to {@link #onStoreReply}. An unknown outcome is
 * resolved by reading the document, which carries the number of this keeper's confirmation.
 */
public final class QuotaLedger {
    /** Key of the store object. */
    public static final String KEY = "limits/quotas";

    // Keepers read reductions and increases within this time.
    private static final long KEEPER_READ_INTERVAL_MILLIS = 2_000;
    // Other hosts need only the list of keepers. Until they have it, they read as often as a keeper.
    private static final long NON_KEEPER_READ_INTERVAL_MILLIS = 30_000;
    // Planning copies the document, which is too expensive to do at each tick.
    private static final long PLAN_INTERVAL_MILLIS = 100;
    // Upper limit of the back-off. The wait differs between hosts, so that they do not all return at once after an
    // outage.
    private static final long MAX_BACKOFF_MILLIS = 10_000;
    // Number of renewals of a confirmation within the reclaim time, so that a few lost writes are harmless.
    private static final int RENEWALS_PER_RECLAIM_TIME = 8;
    // Keepers rebalance with a delay by rank, so that usually only one of them writes.
    private static final long RANK_DELAY_MILLIS = 1_000;
    // The expected keepers of a new organisation join within a second unless they or the store are unavailable.
    private static final long RESERVE_TIMEOUT_MILLIS = 5_000;

    /** Last known confirmation of a keeper and the time at which this host first read it. */
    private record Observation(long incarnation, long confirmation, long seenAt) {}

    private final KeeperIdentity self;
    private final LimitSettings settings;
    private final QuotaCodec codec;
    private final TokenKeeper keeper;
    private final Map<String, Observation> observations = new HashMap<>();
    private final Map<Long, Long> sentAtByConfirmation = new HashMap<>();
    private long revision;
    private long limitsRevision;
    private Map<String, Organisation> organisations = Map.of();
    private Set<String> members = Set.of();
    private QuotaDocument document;
    private long version;
    private QuotaDocument proposed;
    private boolean inFlight;
    private boolean leaving;
    private long confirmation;
    private long renewedAt;
    private long nextReadAt = Long.MIN_VALUE;
    private long nextPlanAt = Long.MIN_VALUE;
    private long backoffMillis;
    private long imbalanceSince = Long.MAX_VALUE;
    private long reserveSince = Long.MAX_VALUE;

    /**
     * Creates a ledger that has not yet read the document.
     *
     * @param self this host
     * @param settings settings of the limits
     * @param codec converts the document
     * @param keeper keeper of this host, which receives the quotas of each document
     */
    public QuotaLedger(KeeperIdentity self, LimitSettings settings, QuotaCodec codec, TokenKeeper keeper) {
        this.self = self;
        this.settings = settings;
        this.codec = codec;
        this.keeper = keeper;
    }

    /** Sets the organisations of a configuration revision by identifier. */
    public void configure(long revision, Map<String, Organisation> organisations) {
        Map<String, Organisation> adopted = Map.copyOf(organisations);
        if (!adopted.equals(this.organisations)) {
            limitsRevision = revision;
        }
        this.revision = revision;
        this.organisations = adopted;
    }

    /** Sets the live hosts of this host's failure domain, including this host. */
    public void setMembers(Collection<String> liveHosts) {
        members = Set.copyOf(liveHosts);
    }

    /** Starts the hand-over of this host's quotas; {@link #isHandedOver} returns whether it is complete. */
    public void leave() {
        leaving = true;
    }

    /** Schedules a read of the document for the next tick, for example after a watch has reported a change. */
    public void refresh() {
        nextReadAt = Long.MIN_VALUE;
    }

    /** Returns whether the document contains no more quotas of this host. */
    public boolean isHandedOver() {
        return document != null && document.of(self.host()).isEmpty();
    }

    /** Returns the keepers of an organisation, nearest first, from the document that this host read last. */
    public List<String> keepers(String organisation) {
        Map<String, String> domains = new TreeMap<>();
        if (document != null) {
            document.organisations().getOrDefault(organisation, new TreeMap<>()).forEach((host, quota) -> {
                KeeperEntry entry = document.keepers().get(host);
                if (entry != null && !quota.empty() && !QuotaPlan.isRetired(host)) {
                    domains.put(host, entry.failureDomain());
                }
            });
        }
        return KeeperChoice.nearestFirst(self.host(), self.failureDomain(), organisation, domains);
    }

    /** Returns the document that was read or written last, or null. */
    public QuotaDocument document() {
        return document;
    }

    /** Returns the next store call if one is due, otherwise an empty list. */
    public List<LimitEffect> tick(long now) {
        if (inFlight) {
            return List.of();
        }
        if (now >= nextReadAt) {
            return callStore(new StoreRequest.Read(KEY));
        }
        if (document == null || backoffMillis > 0 || now < nextPlanAt) {
            return List.of();
        }
        nextPlanAt = now + PLAN_INTERVAL_MILLIS;
        QuotaDocument next = next(now);
        if (next.equals(document)) {
            return List.of();
        }
        return write(next, now);
    }

    /** Handles the reply to this ledger's store call. */
    public void onStoreReply(StoreReply reply, long now) {
        if (!inFlight || !reply.key().equals(KEY)) {
            return;
        }
        inFlight = false;
        QuotaDocument written = proposed;
        proposed = null;
        switch (reply.outcome()) {
            case OK -> {
                backoffMillis = 0;
                applyDocument(written != null ? written : codec.decode(reply.value()), reply.version(), now);
            }
            case ABSENT -> {
                backoffMillis = 0;
                applyDocument(QuotaDocument.empty(), StoreRequest.Put.ABSENT, now);
            }
            case CONFLICT -> nextReadAt = now;
            default -> {
                backoffMillis = Math.min(MAX_BACKOFF_MILLIS, Math.max(250, 2 * backoffMillis));
                nextReadAt = now + backoffMillis / 2 + jitter(backoffMillis / 2, now);
            }
        }
        if (reply.outcome() == StoreOutcome.OK || reply.outcome() == StoreOutcome.ABSENT) {
            nextReadAt = now + jitter(readIntervalMillis() / 4, now) + readIntervalMillis() * 3 / 4;
        }
    }

    private List<LimitEffect> write(QuotaDocument next, long now) {
        KeeperEntry entry = next.keepers().get(self.host());
        QuotaDocument stamped = next;
        if (isOwnEntry(entry)) {
            confirmation = Math.max(confirmation, entry.confirmation()) + 1;
            sentAtByConfirmation.put(confirmation, now);
            stamped = QuotaPlan.renew(next, self.host(), confirmation);
        }
        proposed = stamped;
        return callStore(new StoreRequest.Put(KEY, version, codec.encode(stamped)));
    }

    private List<LimitEffect> callStore(StoreRequest request) {
        inFlight = true;
        return List.of(new LimitEffect.Store(request));
    }

    private void applyDocument(QuotaDocument read, long readVersion, long now) {
        document = read;
        version = readVersion;
        read.keepers().forEach((host, entry) -> {
            Observation last = observations.get(host);
            if (last == null
                    || last.incarnation() != entry.incarnation()
                    || last.confirmation() != entry.confirmation()) {
                observations.put(host, new Observation(entry.incarnation(), entry.confirmation(), now));
            }
        });
        observations.keySet().retainAll(read.keepers().keySet());
        KeeperEntry entry = read.keepers().get(self.host());
        Long sentAt = isOwnEntry(entry) ? sentAtByConfirmation.get(entry.confirmation()) : null;
        if (sentAt != null) {
            keeper.onConfirmed(sentAt);
            renewedAt = sentAt;
            sentAtByConfirmation.keySet().removeIf(number -> number < entry.confirmation());
        }
        keeper.setQuotas(isOwnEntry(entry) ? read.of(self.host()) : Map.of(), now);
        for (String organisation : read.organisations().keySet()) {
            List<String> others = keepers(organisation).stream()
                    .filter(host -> !host.equals(self.host()))
                    .toList();
            keeper.setLenders(organisation, others);
        }
    }

    private QuotaDocument next(long now) {
        KeeperEntry entry = document.keepers().get(self.host());
        if (entry != null && entry.incarnation() > self.incarnation()) {
            return document;
        }
        QuotaDocument next = updateMemberships(document, isOwnEntry(entry));
        next = confirmReductions(next, now);
        if (!isOwnEntry(entry)) {
            return next;
        }
        next = planChanges(next, now);
        long renewAfter = settings.reclaimAfterMillis() / RENEWALS_PER_RECLAIM_TIME;
        if (next.equals(document) && now - renewedAt >= renewAfter) {
            next = QuotaPlan.renew(document, self.host(), entry.confirmation() + 1);
        }
        return next;
    }

    private QuotaDocument updateMemberships(QuotaDocument read, boolean registered) {
        QuotaDocument next = read;
        Set<String> names = new TreeSet<>(organisations.keySet());
        names.addAll(read.of(self.host()).keySet());
        for (String organisation : names) {
            next = updateMembership(next, organisation, registered);
        }
        boolean inherits = !registered
                && read.keepers().values().stream()
                        .anyMatch(other -> other.address().equals(self.address()));
        if (next != read || inherits) {
            next = QuotaPlan.register(next, self.host(), self.entry(confirmation));
        }
        return next;
    }

    private QuotaDocument updateMembership(QuotaDocument read, String organisation, boolean registered) {
        Organisation configured = leaving ? null : organisations.get(organisation);
        int rank = KeeperChoice.rank(organisation, members).indexOf(self.host());
        boolean chosen =
                configured != null && revision >= read.revision() && rank >= 0 && rank < settings.keepersPerDomain();
        // A keeper whose rank is slightly too low stays, because membership changes are more frequent than host
        // failures.
        boolean remains = configured != null && rank < 2 * settings.keepersPerDomain();
        Quota current = read.of(self.host()).get(organisation);
        boolean active = current != null && !current.withdrawn();
        if (chosen && !active) {
            int expected = Math.min(settings.keepersPerDomain(), members.size());
            return QuotaPlan.joinOrCreate(read, limitsRevision, configured, self.host(), expected);
        }
        if (active && !remains && registered) {
            return QuotaPlan.withdraw(read, organisation, self.host());
        }
        return read;
    }

    private QuotaDocument confirmReductions(QuotaDocument read, long now) {
        QuotaDocument next = read;
        for (Map.Entry<String, Quota> ownQuota : read.of(self.host()).entrySet()) {
            boolean adopted = Objects.equals(document.of(self.host()).get(ownQuota.getKey()), ownQuota.getValue());
            if (adopted && !ownQuota.getValue().confirmed() && keeper.canConfirm(ownQuota.getKey(), now)) {
                next = QuotaPlan.confirm(next, ownQuota.getKey(), self.host());
            }
        }
        return next;
    }

    private QuotaDocument planChanges(QuotaDocument read, long now) {
        QuotaDocument next = read;
        for (Map.Entry<String, Observation> observation : observations.entrySet()) {
            if (now - observation.getValue().seenAt() >= settings.reclaimAfterMillis()
                    && !observation.getKey().equals(self.host())) {
                next = QuotaPlan.reclaim(next, observation.getKey());
            }
        }
        next = releaseOverdueReserve(next, now);
        // A host with an outdated configuration must not raise quotas that a later revision lowered.
        if (revision >= document.revision()) {
            next = QuotaPlan.rebalance(next, limitsRevision, organisations);
        }
        if (next.equals(read)) {
            imbalanceSince = Long.MAX_VALUE;
            return read;
        }
        imbalanceSince = Math.min(imbalanceSince, now);
        int rank = KeeperChoice.rank(KEY, document.keepers().keySet()).indexOf(self.host());
        return now - imbalanceSince >= rank * RANK_DELAY_MILLIS ? next : read;
    }

    private QuotaDocument releaseOverdueReserve(QuotaDocument read, long now) {
        if (!QuotaPlan.hasReserve(read)) {
            reserveSince = Long.MAX_VALUE;
            return read;
        }
        reserveSince = Math.min(reserveSince, now);
        return now - reserveSince >= RESERVE_TIMEOUT_MILLIS ? QuotaPlan.releaseReserve(read) : read;
    }

    private boolean isOwnEntry(KeeperEntry entry) {
        return entry != null
                && entry.incarnation() == self.incarnation()
                && entry.address().equals(self.address());
    }

    private long readIntervalMillis() {
        boolean isKeeper = document != null && !document.of(self.host()).isEmpty();
        boolean lacksKeepers = organisations.keySet().stream()
                .anyMatch(organisation -> keepers(organisation).isEmpty());
        return isKeeper || lacksKeepers ? KEEPER_READ_INTERVAL_MILLIS : NON_KEEPER_READ_INTERVAL_MILLIS;
    }

    private long jitter(long bound, long now) {
        return bound <= 0 ? 0 : Math.floorMod(Objects.hash(self.host(), now), bound);
    }
}
