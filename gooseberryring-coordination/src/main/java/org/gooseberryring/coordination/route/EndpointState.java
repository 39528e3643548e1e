package org.gooseberryring.coordination.route;

import java.util.HashSet;
import java.util.Set;

import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;

/** State of one endpoint of the failure domain from the point of view of this host. */
final class EndpointState {
    /** Delay before a lost plain service is retried, since it sends no load reports that show its recovery. */
    private static final long SERVICE_RETRY_MILLIS = 1_000;

    private static final long MAX_SERVICE_RETRY_MILLIS = 16_000;

    private final String id;
    private final RouteChoice choice;
    private final InFlightHistory history = new InFlightHistory();
    private final SlowStart slowStart;
    private Endpoint configuration;
    private EndpointCredits credits;
    private Set<Artifact> placed = Set.of();
    private Set<Artifact> loaded = Set.of();
    private boolean domainIn;
    private boolean lost;
    private long lostAt = Long.MIN_VALUE;
    private long lossEpoch;
    private long retryAt;
    private long retryMillis = SERVICE_RETRY_MILLIS;
    private boolean reported;
    private long incarnation;
    private int reportedCapacity = Integer.MAX_VALUE;
    private int othersRunning;
    private int ownInFlight;
    private boolean occupiedAlone;
    private boolean removed;

    EndpointState(Endpoint configuration, EndpointCredits credits) {
        this.id = configuration.id();
        this.choice = new RouteChoice(RouteChoice.Kind.ENDPOINT, id);
        this.slowStart = new SlowStart(configuration.maxConcurrency());
        this.configuration = configuration;
        this.credits = credits;
    }

    void configure(Endpoint endpoint, EndpointCredits newCredits, Set<Artifact> newPlaced, boolean in) {
        if (!endpoint.address().equals(configuration.address())) {
            slowStart.restart();
        }
        removed = false;
        configuration = endpoint;
        credits = newCredits;
        placed = newPlaced;
        if (in && !domainIn) {
            slowStart.restart();
        }
        domainIn = in;
        slowStart.capacity(endpoint.maxConcurrency());
    }

    /** Removes it permanently; the state is kept until its last request has ended, so that its credits are released. */
    void onRemoved() {
        removed = true;
        domainIn = false;
    }

    /** Applies a load report; returns whether the set of loaded artifacts changed. */
    boolean onLoadReport(long newIncarnation, int running, int capacity, Set<Artifact> newLoaded, long sampledAt) {
        if (lost && sampledAt <= lostAt) {
            return false;
        }
        if (lost || reported && newIncarnation != incarnation) {
            slowStart.restart();
        }
        lost = false;
        reported = true;
        incarnation = newIncarnation;
        reportedCapacity = capacity > 0 ? capacity : Integer.MAX_VALUE;
        othersRunning = Math.max(0, running - history.at(sampledAt));
        boolean changed = !loaded.equals(newLoaded);
        if (changed) {
            loaded = new HashSet<>(newLoaded);
        }
        return changed;
    }

    void onAttemptStarted(boolean alone, long now) {
        credits.acquire(now);
        ownInFlight++;
        occupiedAlone |= alone;
        history.record(ownInFlight, now);
    }

    void onAttemptEnded(boolean alone, long now) {
        credits.release(now);
        ownInFlight = Math.max(0, ownInFlight - 1);
        if (alone) {
            occupiedAlone = false;
        }
        history.record(ownInFlight, now);
    }

    void onAttemptSucceeded(long firstTokenMillis) {
        retryMillis = SERVICE_RETRY_MILLIS;
        slowStart.onAttemptSucceeded(firstTokenMillis);
    }

    void onAttemptFailed() {
        slowStart.onAttemptFailed();
    }

    /** Excludes the endpoint after a new loss; further reports of the same loss are ignored. */
    void onEndpointLost(long epochAtDispatch, long now) {
        if (epochAtDispatch != lossEpoch) {
            return;
        }
        lossEpoch++;
        retryAt = now + retryMillis;
        retryMillis = Math.min(MAX_SERVICE_RETRY_MILLIS, retryMillis * 2);
        lost = true;
        lostAt = now;
        othersRunning = 0;
        slowStart.restart();
    }

    long lossEpoch() {
        return lossEpoch;
    }

    /** Makes a lost plain service available again if its retry is due; returns whether it did. */
    boolean resetLossIfRetryDue(long now) {
        if (lost && configuration.kind() == EndpointKind.SERVICE && now >= retryAt) {
            lost = false;
            return true;
        }
        return false;
    }

    /** Returns whether it may serve requests, regardless of load. */
    boolean inService() {
        return domainIn && !configuration.leaving() && !lost;
    }

    boolean hasFreeCapacity(boolean alone, long now) {
        return inService() && hasCapacityIgnoringCredits(alone) && credits.available(now);
    }

    /** Returns whether only a credit is missing. */
    boolean lacksOnlyCredit(boolean alone, long now) {
        return inService() && hasCapacityIgnoringCredits(alone) && !credits.available(now);
    }

    void requestCredit(long now) {
        credits.want(now);
    }

    boolean hasLoaded(Artifact artifact) {
        return loaded.contains(artifact);
    }

    boolean isPlaced(Artifact artifact) {
        return placed.contains(artifact);
    }

    Set<Artifact> loaded() {
        return loaded;
    }

    int load() {
        return ownInFlight + othersRunning;
    }

    /** Returns the share of the concurrency in use, according to the state known to this host. */
    double utilisation() {
        return (double) load() / concurrency();
    }

    int concurrency() {
        return Math.max(1, Math.min(configuration.maxConcurrency(), reportedCapacity));
    }

    String id() {
        return id;
    }

    RouteChoice choice() {
        return choice;
    }

    boolean isRemoved() {
        return removed;
    }

    int ownInFlight() {
        return ownInFlight;
    }

    int slowStartLimit() {
        return slowStart.limit();
    }

    private boolean hasCapacityIgnoringCredits(boolean alone) {
        if (occupiedAlone || alone && load() > 0) {
            return false;
        }
        return ownInFlight < slowStart.limit() && load() < concurrency();
    }
}
