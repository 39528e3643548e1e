package org.gooseberryring.coordination.limit;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gooseberryring.state.Organisation;

/**
 * Token limit of one organisation that all hosts enforce jointly.
 *
 * <p>In each period of the window length, all hosts together admit the rate times the window length plus the burst. A
 * host may admit only its share of the remaining tokens before the other hosts are notified. Otherwise, under demand
 * above the limit, all hosts would spend the same remaining tokens.
 */
final class SharedBucket {
    /** In place of the number of hosts, if it is not known yet. */
    static final int UNKNOWN_HOSTS = 0;

    /** Time within which all hosts are notified of what one host has admitted. */
    static final long PROPAGATION_MILLIS = 500;

    /** Time without an update after which a host is assumed to use its share of the rate. Several messages must be lost. */
    static final long SILENCE_MILLIS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Fraction of the burst that a host assumes to be available when the past usage is unknown. */
    private static final double START_SHARE = 0.125;

    /** Time after its start during which a host may not have received updates of the other hosts. */
    private static final long STARTUP_MILLIS = 1_000;

    /** Minimum number of hosts that are assumed to share a limit during that time if their number is not known. */
    private static final int MIN_ASSUMED_HOSTS = 8;

    /** Number of parts in which a window is passed to a host that has just started. */
    private static final int WINDOW_PARTS = 16;

    /**
     * Fraction of the limit that all hosts together may admit beyond their shares of the remaining tokens, at most once as
     * much as remains. It allows for uneven demand and bounds the excess if hosts are cut off from each other.
     */
    private static final double UNEVEN_DEMAND_FRACTION = 0.1;

    /** Fraction of the limit up to which an excess is not stored; it is smaller than what deployments tolerate. */
    private static final double MIN_STORED_EXCESS = 1 / 16.0;

    private static final long MIN_RETRY_MILLIS = 50;
    private static final long MAX_RETRY_MILLIS = 10_000;

    private final long windowMillis;
    private final long startedAt;
    private final UseWindow used;
    private final UseWindow ownUnreported = new UseWindow(PROPAGATION_MILLIS);
    private final Map<String, HostUse> hosts = new HashMap<>();
    private final long[] ownReturned = new long[TokenUse.RETURN_CLASSES];
    private double rate;
    private double burst;
    private double startBurst;
    private double earlierExcess;
    private long limitedSince;
    private long ownUsed;
    private RecentTokens ownRecent;
    private boolean configured;
    private boolean pastUsageUnknown;
    private boolean earlierExcessRead;

    /**
     * Creates a limit without usage.
     *
     * @param pastUsageUnknown whether the organisation may have used its limit before, for example before this process
     *     started
     */
    SharedBucket(long windowMillis, boolean pastUsageUnknown, long now) {
        this.windowMillis = windowMillis;
        this.pastUsageUnknown = pastUsageUnknown;
        this.used = new UseWindow(windowMillis);
        this.startedAt = now;
        this.limitedSince = now;
        this.ownRecent = RecentTokens.none(now);
    }

    /** Sets the limit. A lower limit counts from now on, with at most the tokens that remained before. */
    void configure(Organisation organisation, long now) {
        double newRate = organisation.rateTokensPerSecond();
        double newBurst = organisation.burstTokens();
        if (!configured) {
            configured = true;
            startBurst = newBurst * START_SHARE;
        } else if (newRate < rate || newBurst < burst) {
            startBurst = Math.min(newBurst, remainder(now));
            limitedSince = now;
            used.clear();
            hosts.values().forEach(HostUse::clearAssumed);
        }
        rate = newRate;
        burst = newBurst;
    }

    /** Returns what this host has admitted since its start. */
    TokenUse ownUse() {
        boolean returned = Arrays.stream(ownReturned).anyMatch(tokens -> tokens != 0);
        return returned
                ? new TokenUse(ownUsed, Arrays.stream(ownReturned).boxed().toList())
                : TokenUse.of(ownUsed);
    }

    /**
     * Returns the tokens that all hosts have used within the window by their age, the newest first; empty if this host
     * does not know them for the whole window.
     */
    List<Long> window(long now) {
        boolean known = now - limitedSince >= windowMillis;
        return known ? usedAndAssumed(now).byAge(WINDOW_PARTS, now) : List.of();
    }

    /**
     * Takes over the window of another host, if this host has started later than the window. Its use by processes that
     * have ended, and by others before this host has heard them, is known from then on.
     */
    void takeOver(List<Long> window, long now) {
        if (!pastUsageUnknown || window.isEmpty() || now - startedAt >= windowMillis) {
            return;
        }
        pastUsageUnknown = false;
        earlierExcess = 0;
        limitedSince = now - windowMillis;
        for (int i = 0; i < window.size(); i++) {
            // The newest time of the part, so that no tokens leave the window too early.
            used.add(Math.max(0, window.get(i)), now - i * windowMillis / window.size(), now);
        }
    }

    /**
     * Returns the excess: by how many tokens the use in any period up to now exceeds what a host that knows nothing of it
     * assumes, which is the rate and the burst without the part that is available after a start. Zero if it is small, else
     * rounded up to an eighth, a quarter, a half or all of the limit.
     */
    long excess(long now) {
        double perMilli = rate / MILLIS_PER_SECOND;
        UseWindow all = usedAndAssumed(now);
        double excess = all.largestExcess(perMilli, now) - burst * (1 - START_SHARE);
        if (pastUsageUnknown && now - limitedSince < windowMillis) {
            double sinceStart = all.sum(now) - perMilli * (now - limitedSince);
            excess = Math.max(excess, earlierExcess + sinceStart);
        }
        double limit = limit();
        if (excess <= limit * MIN_STORED_EXCESS) {
            return 0;
        }
        double level = limit * MIN_STORED_EXCESS * 2;
        while (level < Math.min(excess, limit)) {
            level *= 2;
        }
        return Math.round(level);
    }

    /**
     * Records the excess of processes that have ended, if this host has just started and does not know it. The available
     * tokens are lower by as much for a window.
     */
    void onEarlierExcess(long tokens, long now) {
        if (!pastUsageUnknown || earlierExcessRead || now - startedAt >= windowMillis) {
            return;
        }
        earlierExcessRead = true;
        earlierExcess = tokens;
        startBurst -= tokens;
    }

    /**
     * Adds a process of a host. What it has used counts if it has started since the last report of the process before, or
     * if it is as young as this one, as after a restart of all hosts. Otherwise the times of its earlier use are unknown.
     */
    void addHost(String host, TokenUse use, long now) {
        HostUse earlier = hosts.put(host, new HostUse(windowMillis, use, now));
        // The other process may not have read the excess of earlier ones.
        double mostSinceStart = startBurst + earlierExcess + rate * (now - limitedSince) / MILLIS_PER_SECOND;
        boolean young = isStartingUp(now) && use.usedTokens() <= mostSinceStart;
        if (earlier != null || young) {
            used.add(use.usedTokens(), now);
        }
        if (earlier != null) {
            // The earlier process was gone rather than out of sight, so it did not use what remained.
            earlier.addAssumedRateTo(used, now);
        }
    }

    /** Records that a host has no usage beyond its last reported total. Replaces the usage assumed for it. */
    void onUsageUnchanged(String host, long now) {
        HostUse known = hosts.get(host);
        if (known != null) {
            known.onReport(known.reported(), now);
        }
    }

    /** Records the total usage of another host. Replaces the usage assumed for it. */
    void onUsageReport(String host, TokenUse use, long now) {
        HostUse known = hosts.get(host);
        if (known == null) {
            addHost(host, use, now);
            return;
        }
        used.add(Math.max(0, use.admittedTokens() - known.reported().admittedTokens()), now);
        for (int i = 0; i < TokenUse.RETURN_CLASSES; i++) {
            long returned = use.returnedTokens(i) - known.reported().returnedTokens(i);
            subtract(Math.max(0, returned), earliestAdmission(i, known.heardAt()), now);
        }
        known.onReport(use, now);
    }

    /** Returns the earliest time at which tokens can count that a host has returned since its last report. */
    private long earliestAdmission(int returnClass, long lastHeardAt) {
        long longestUse = windowMillis * (returnClass + 1) / TokenUse.RETURN_CLASSES;
        return lastHeardAt - PROPAGATION_MILLIS - longestUse;
    }

    /** Subtracts tokens that were admitted at the given time or later, if they count. */
    private void subtract(long tokens, long admittedAt, long now) {
        if (tokens > 0 && admittedAt >= limitedSince) {
            used.add(-tokens, admittedAt, now);
        }
    }

    /**
     * Assumes that silent hosts have continued to use their shares of the limit: each at least an equal share, all
     * together at most the limit.
     *
     * @param silentSince time of the last update of each silent host
     */
    void assumeUsage(Map<String, Long> silentSince, int hostCount, long now) {
        Map<String, Double> shares = shares(silentSince.keySet(), hostCount, now);
        Map<Long, Double> granted = new HashMap<>();
        Map<String, Double> assumed = new HashMap<>();
        shares.forEach((host, share) -> {
            long from = hosts.get(host).assumedTo(silentSince.get(host));
            assumed.put(host, share * granted.computeIfAbsent(from, key -> grantedSince(key, now)));
        });
        assumed.forEach((host, tokens) -> hosts.get(host).assume(tokens, now));
    }

    /** Returns what all hosts together may have granted since a time: the limit, or more if more has left the window. */
    private double grantedSince(long from, long now) {
        double perMilli = rate / MILLIS_PER_SECOND + burst / windowMillis;
        double departed = used.departedSince(from, now);
        for (HostUse each : hosts.values()) {
            departed += each.assumedDepartedSince(from, now);
        }
        return Math.max(perMilli * (now - from), departed);
    }

    /**
     * Assumes that hosts whose updates are late use their shares of the tokens that remained when they were last heard.
     * What this host and the others have used since does not reduce those shares, as the late hosts may not hear of it.
     *
     * @param lateSince time of the last update of each late host
     */
    void assumeRemainderUsed(Map<String, Long> lateSince, int hostCount, long now) {
        Map<Long, Double> remained = new HashMap<>();
        Map<String, Double> assumed = new HashMap<>();
        shares(lateSince.keySet(), hostCount, now).forEach((host, share) -> {
            double remainder = remained.computeIfAbsent(lateSince.get(host), from -> remainderAt(from, now));
            assumed.put(host, share * remainder);
        });
        assumed.forEach((host, tokens) -> hosts.get(host).assumeRemainder(tokens, now));
    }

    /** Returns the tokens that remained at a time, less what is assumed of silent hosts at a rate since then. */
    private double remainderAt(long from, long now) {
        double since = used.sumSince(from, now);
        for (HostUse each : hosts.values()) {
            since += each.remainderAssumedSince(from);
        }
        return Math.max(0, remainder(now) + since);
    }

    /** Returns the shares of hosts in the limit: each at least an equal share, all together at most 1. */
    private Map<String, Double> shares(Collection<String> names, int hostCount, long now) {
        double sum = recentOfAll(now);
        Map<String, Double> shares = new HashMap<>();
        double all = 0;
        for (String host : names) {
            HostUse use = hosts.get(host);
            if (use != null) {
                double share = Math.max(1.0 / hostCount, sum <= 0 ? 0 : use.recent(now) / sum);
                shares.put(host, share);
                all += share;
            }
        }
        double scale = 1 / Math.max(1, all);
        shares.replaceAll((host, share) -> share * scale);
        return shares;
    }

    /** Assumes no further usage of a host; its use since its last report counts if it is heard again. */
    void removeHost(String host) {
        HostUse use = hosts.get(host);
        if (use != null) {
            use.remove();
        }
    }

    /**
     * Takes tokens. A request may take more tokens than remain; later requests then wait until the excess is refilled.
     *
     * @param hostCount number of hosts that may be alive, this one included; {@link #UNKNOWN_HOSTS} if it is not known
     */
    boolean tryTake(long tokens, int hostCount, long now) {
        double remaining = remainder(now);
        double unreported = ownUnreported.sum(now);
        if (remaining <= 0 || unreported > maxUnreported(remaining + unreported, hostCount, now)) {
            return false;
        }
        used.add(tokens, now);
        ownUnreported.add(tokens, now);
        ownUsed += tokens;
        ownRecent = ownRecent.plus(tokens, now);
        return true;
    }

    /** Returns tokens of a request that did not run. Tokens that have left the window make no difference. */
    void giveBack(long tokens, long admittedAt, long now) {
        long age = now - admittedAt;
        if (age >= windowMillis) {
            return;
        }
        subtract(tokens, admittedAt, now);
        ownUnreported.add(-tokens, admittedAt, now);
        ownUsed -= tokens;
        ownReturned[(int) (age * TokenUse.RETURN_CLASSES / windowMillis)] += tokens;
    }

    /** Returns the milliseconds until a request can be admitted again. */
    long millisUntilAdmission(long now) {
        double missing = -remainder(now);
        boolean starting = now - limitedSince < windowMillis;
        double refilled = Math.min(missing / Math.max(1, rate) * MILLIS_PER_SECOND, limitedSince + windowMillis - now);
        long millis = starting ? (long) refilled : usedAndAssumed(now).millisUntilLeft(missing, now);
        // Tokens may remain that belong to the share of another host. The shares are recalculated within the horizon.
        long minWait = missing < 0 ? PROPAGATION_MILLIS / 2 : MIN_RETRY_MILLIS;
        return Math.min(MAX_RETRY_MILLIS, Math.max(minWait, millis));
    }

    private UseWindow usedAndAssumed(long now) {
        UseWindow sum = new UseWindow(windowMillis);
        sum.addAll(used, now);
        hosts.values().forEach(host -> host.addAssumedTo(sum, now));
        return sum;
    }

    /** Returns the tokens that all hosts together may still admit, negative if the limit is exceeded. */
    private double remainder(long now) {
        long since = Math.min(windowMillis, now - limitedSince);
        double allowed = rate * since / MILLIS_PER_SECOND + (since < windowMillis ? startBurst : burst);
        double assumed = 0;
        for (HostUse each : hosts.values()) {
            assumed += each.assumed(now);
        }
        return allowed - used.sum(now) - assumed;
    }

    /** Returns whether this host may not yet have received updates of the other hosts since its start. */
    private boolean isStartingUp(long now) {
        return pastUsageUnknown && now - startedAt < STARTUP_MILLIS;
    }

    /** Returns the tokens of a pool that this host may admit before the others are notified. */
    private double maxUnreported(double pool, int hostCount, long now) {
        double uneven = isStartingUp(now) ? 0 : Math.min(pool, UNEVEN_DEMAND_FRACTION * limit());
        return unreportedShare(hostCount, now) * (pool + uneven);
    }

    /** Returns the tokens that may be used in a window. */
    private double limit() {
        return rate * windowMillis / MILLIS_PER_SECOND + burst;
    }

    /** Returns this host's share of the tokens that hosts may admit before the others are notified. */
    private double unreportedShare(int hostCount, long now) {
        boolean started = now - startedAt < STARTUP_MILLIS;
        int minHosts = hostCount == UNKNOWN_HOSTS ? MIN_ASSUMED_HOSTS : hostCount;
        double equalShare = 1.0 / Math.max(started ? minHosts : 1, knownHosts() + 1);
        return started ? equalShare : Math.max(equalShare, demandShare(now));
    }

    /** Returns this host's share of the recent demand. */
    private double demandShare(long now) {
        double sum = recentOfAll(now);
        return sum <= 0 ? 0 : ownRecent.at(now) / sum;
    }

    private int knownHosts() {
        int count = 0;
        for (HostUse each : hosts.values()) {
            count += each.isRemoved() ? 0 : 1;
        }
        return count;
    }

    private double recentOfAll(long now) {
        double sum = ownRecent.at(now);
        for (HostUse each : hosts.values()) {
            sum += each.recent(now);
        }
        return sum;
    }
}
