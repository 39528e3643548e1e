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
 * <p>At most one store call is in flight. The host passes every reply to {@link #onStore}. An unknown outcome is
 * resolved by reading the document, which carries the number of this keeper's confirmation.
 */
public final class QuotaLedger {
    /** Key of the store object. */
    public static final String KEY = "limits/quotas";

    // Keepers read reductions and increases within this time.
    private static final long KEEPER_READ_MILLIS = 2_000;
    // Other hosts need only the list of keepers. Until they have it, they read as often as a keeper.
    private static final long OTHER_READ_MILLIS = 30_000;
    // Planning copies the document, which is too expensive to do at each tick.
    private static final long PLAN_MILLIS = 100;
    // Upper limit of the back-off. The wait differs between hosts, so that they do not all return at once after an
    // outage.
    private static final long MAX_BACKOFF_MILLIS = 10_000;
    // Number of renewals of a confirmation within the reclaim time, so that a few lost writes are harmless.
    private static final int RENEWALS_PER_RECLAIM = 8;
    // Keepers rebalance with a delay by rank, so that usually only one of them writes.
    private static final long RANK_DELAY_MILLIS = 1_000;
    // The expected keepers of a new organisation join within a second unless they or the store are unavailable.
    private static final long RESERVE_MILLIS = 5_000;

    /** Last known confirmation of a keeper and the time at which this host first read it. */
    private record Sighting(long incarnation, long confirmation, long seenAt) {}

    private final KeeperIdentity self;
    private final LimitSettings settings;
    private final QuotaCodec codec;
    private final TokenKeeper keeper;
    private final Map<String, Sighting> sightings = new HashMap<>();
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
    private long backoff;
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
    public void members(Collection<String> liveHosts) {
        members = Set.copyOf(liveHosts);
    }

    /** Starts the hand-over of this host's quotas; {@link #handedOver} returns whether it is complete. */
    public void leave() {
        leaving = true;
    }

    /** Schedules a read of the document for the next tick, for example after a watch has reported a change. */
    public void refresh() {
        nextReadAt = Long.MIN_VALUE;
    }

    /** Returns whether the document contains no more quotas of this host. */
    public boolean handedOver() {
        return document != null && document.of(self.host()).isEmpty();
    }

    /** Returns the keepers of an organisation, nearest first, from the document that this host read last. */
    public List<String> keepers(String organisation) {
        Map<String, String> domains = new TreeMap<>();
        if (document != null) {
            document.organisations().getOrDefault(organisation, new TreeMap<>()).forEach((host, quota) -> {
                KeeperEntry entry = document.keepers().get(host);
                if (entry != null && !quota.empty() && !QuotaPlan.retired(host)) {
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
            return call(new StoreRequest.Read(KEY));
        }
        if (document == null || backoff > 0 || now < nextPlanAt) {
            return List.of();
        }
        nextPlanAt = now + PLAN_MILLIS;
        QuotaDocument next = next(now);
        if (next.equals(document)) {
            return List.of();
        }
        return write(next, now);
    }

    /** Handles the reply to this ledger's store call. */
    public void onStore(StoreReply reply, long now) {
        if (!inFlight || !reply.key().equals(KEY)) {
            return;
        }
        inFlight = false;
        QuotaDocument written = proposed;
        proposed = null;
        switch (reply.outcome()) {
            case OK -> {
                backoff = 0;
                adopt(written != null ? written : codec.decode(reply.value()), reply.version(), now);
            }
            case ABSENT -> {
                backoff = 0;
                adopt(QuotaDocument.empty(), StoreRequest.Put.ABSENT, now);
            }
            case CONFLICT -> nextReadAt = now;
            default -> {
                backoff = Math.min(MAX_BACKOFF_MILLIS, Math.max(250, 2 * backoff));
                nextReadAt = now + backoff / 2 + jitter(backoff / 2, now);
            }
        }
        if (reply.outcome() == StoreOutcome.OK || reply.outcome() == StoreOutcome.ABSENT) {
            nextReadAt = now + jitter(readInterval() / 4, now) + readInterval() * 3 / 4;
        }
    }

    private List<LimitEffect> write(QuotaDocument next, long now) {
        KeeperEntry entry = next.keepers().get(self.host());
        QuotaDocument stamped = next;
        if (isMine(entry)) {
            confirmation = Math.max(confirmation, entry.confirmation()) + 1;
            sentAtByConfirmation.put(confirmation, now);
            stamped = QuotaPlan.renew(next, self.host(), confirmation);
        }
        proposed = stamped;
        return call(new StoreRequest.Put(KEY, version, codec.encode(stamped)));
    }

    private List<LimitEffect> call(StoreRequest request) {
        inFlight = true;
        return List.of(new LimitEffect.Store(request));
    }

    private void adopt(QuotaDocument read, long readVersion, long now) {
        document = read;
        version = readVersion;
        read.keepers().forEach((host, entry) -> {
            Sighting last = sightings.get(host);
            if (last == null
                    || last.incarnation() != entry.incarnation()
                    || last.confirmation() != entry.confirmation()) {
                sightings.put(host, new Sighting(entry.incarnation(), entry.confirmation(), now));
            }
        });
        sightings.keySet().retainAll(read.keepers().keySet());
        KeeperEntry entry = read.keepers().get(self.host());
        Long sentAt = isMine(entry) ? sentAtByConfirmation.get(entry.confirmation()) : null;
        if (sentAt != null) {
            keeper.confirmed(sentAt);
            renewedAt = sentAt;
            sentAtByConfirmation.keySet().removeIf(number -> number < entry.confirmation());
        }
        keeper.adopt(isMine(entry) ? read.of(self.host()) : Map.of(), now);
        for (String organisation : read.organisations().keySet()) {
            List<String> others = keepers(organisation).stream()
                    .filter(host -> !host.equals(self.host()))
                    .toList();
            keeper.lenders(organisation, others);
        }
    }

    private QuotaDocument next(long now) {
        KeeperEntry entry = document.keepers().get(self.host());
        if (entry != null && entry.incarnation() > self.incarnation()) {
            return document;
        }
        QuotaDocument next = memberships(document, isMine(entry));
        next = confirmations(next, now);
        if (!isMine(entry)) {
            return next;
        }
        next = plan(next, now);
        long renewAfter = settings.reclaimAfterMillis() / RENEWALS_PER_RECLAIM;
        if (next.equals(document) && now - renewedAt >= renewAfter) {
            next = QuotaPlan.renew(document, self.host(), entry.confirmation() + 1);
        }
        return next;
    }

    private QuotaDocument memberships(QuotaDocument read, boolean mine) {
        QuotaDocument next = read;
        Set<String> names = new TreeSet<>(organisations.keySet());
        names.addAll(read.of(self.host()).keySet());
        for (String organisation : names) {
            next = membership(next, organisation, mine);
        }
        boolean inherits = !mine
                && read.keepers().values().stream()
                        .anyMatch(other -> other.address().equals(self.address()));
        if (next != read || inherits) {
            next = QuotaPlan.register(next, self.host(), self.entry(confirmation));
        }
        return next;
    }

    private QuotaDocument membership(QuotaDocument read, String organisation, boolean mine) {
        Organisation configured = leaving ? null : organisations.get(organisation);
        int rank = KeeperChoice.rank(organisation, members).indexOf(self.host());
        boolean chosen =
                configured != null && revision >= read.revision() && rank >= 0 && rank < settings.keepersPerDomain();
        // A keeper whose rank is slightly too low stays, because membership changes are more frequent than host
        // failures.
        boolean stays = configured != null && rank < 2 * settings.keepersPerDomain();
        Quota present = read.of(self.host()).get(organisation);
        boolean active = present != null && !present.withdrawn();
        if (chosen && !active) {
            int expected = Math.min(settings.keepersPerDomain(), members.size());
            return QuotaPlan.found(read, limitsRevision, configured, self.host(), expected);
        }
        if (active && !stays && mine) {
            return QuotaPlan.withdraw(read, organisation, self.host());
        }
        return read;
    }

    private QuotaDocument confirmations(QuotaDocument read, long now) {
        QuotaDocument next = read;
        for (Map.Entry<String, Quota> mine : read.of(self.host()).entrySet()) {
            boolean adopted = Objects.equals(document.of(self.host()).get(mine.getKey()), mine.getValue());
            if (adopted && !mine.getValue().confirmed() && keeper.mayConfirm(mine.getKey(), now)) {
                next = QuotaPlan.confirm(next, mine.getKey(), self.host());
            }
        }
        return next;
    }

    private QuotaDocument plan(QuotaDocument read, long now) {
        QuotaDocument next = read;
        for (Map.Entry<String, Sighting> sighting : sightings.entrySet()) {
            if (now - sighting.getValue().seenAt() >= settings.reclaimAfterMillis()
                    && !sighting.getKey().equals(self.host())) {
                next = QuotaPlan.reclaim(next, sighting.getKey());
            }
        }
        next = reserve(next, now);
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

    private QuotaDocument reserve(QuotaDocument read, long now) {
        if (!QuotaPlan.hasReserve(read)) {
            reserveSince = Long.MAX_VALUE;
            return read;
        }
        reserveSince = Math.min(reserveSince, now);
        return now - reserveSince >= RESERVE_MILLIS ? QuotaPlan.releaseReserve(read) : read;
    }

    private boolean isMine(KeeperEntry entry) {
        return entry != null
                && entry.incarnation() == self.incarnation()
                && entry.address().equals(self.address());
    }

    private long readInterval() {
        boolean keeps = document != null && !document.of(self.host()).isEmpty();
        boolean lacksKeepers = organisations.keySet().stream()
                .anyMatch(organisation -> keepers(organisation).isEmpty());
        return keeps || lacksKeepers ? KEEPER_READ_MILLIS : OTHER_READ_MILLIS;
    }

    private long jitter(long bound, long now) {
        return bound <= 0 ? 0 : Math.floorMod(Objects.hash(self.host(), now), bound);
    }
}
