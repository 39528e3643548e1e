package org.gooseberryring.coordination.direct;

import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberryring.coordination.path.EndpointPaths;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.route.RouteChoice;
import org.gooseberryring.coordination.route.RouteForecast;
import org.gooseberryring.coordination.route.RouteQuery;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.PromptShape;
import org.gooseberryring.state.ResidentModel;
import org.gooseberryring.state.ServiceProfile;

/** State of one endpoint from the point of view of this host. */
final class DirectEndpoint {
    /**
     * Share of the token memory that running requests may use; the rest absorbs requests that other hosts send at the
     * same time.
     */
    private static final double USABLE_MEMORY_SHARE = 0.9;

    /**
     * While the controller was active within this time, its report is newer than the registration and takes precedence.
     */
    private static final long CONTROLLER_REPORT_VALID_MILLIS = 3_000;

    /** Time after which the controller report takes precedence again over a missing artifact stated by the endpoint. */
    private static final long ENDPOINT_STATEMENT_VALID_MILLIS = 1_000;

    /** A request that has missed its objective is sent only to an endpoint that starts it within this time. */
    private static final long LATE_START_MILLIS = 250;

    /** A request is overdue after this multiple of its predicted start time plus {@code STALL_MILLIS}. */
    private static final long STALL_FACTOR = 4;

    private static final long STALL_MILLIS = 800;

    private final RouteChoice choice;
    private final EndpointHealth health = new EndpointHealth();
    private final ColdEndpointLimiter coldLimiter = new ColdEndpointLimiter();
    private final PromptCache cache = new PromptCache(0);
    private final Map<String, Set<String>> resident = new HashMap<>();
    private final Map<String, EndpointUse> usesByHost = new HashMap<>();
    // The same query instance identifies a request from dispatch to end.
    private final Map<RouteQuery, Running> running = new IdentityHashMap<>();
    private final ReadRate rate;
    private final BrittleLimit brittleLimit;
    private EndpointRegistration registration;
    private ServiceProfile profile;
    private EndpointUse own = EndpointUse.NONE;
    private EndpointUse otherHostsUse = EndpointUse.NONE;
    private boolean removed;
    private boolean isStalledForOthers;
    private List<ResidentModel> reportedModels;
    private long missingStatedAt = Long.MAX_VALUE;
    private long controllerSeenAt = Long.MIN_VALUE / 2;
    private long backOffUntil = Long.MIN_VALUE / 2;
    private boolean pathDown;

    /**
     * Request in flight.
     *
     * @param via host that passes it on, null if this host has sent it itself
     * @param startsBy time at which its response is overdue, unlimited once it has started
     */
    private record Running(String via, EndpointUse use, long tokensAhead, long sentAt, long startsBy) {}

    /** Creates an endpoint; {@code typicalRate} is the rate at which endpoints of its service process prompts. */
    DirectEndpoint(EndpointRegistration registration, ReadRate typicalRate, long now) {
        this.rate = new ReadRate(typicalRate);
        this.brittleLimit = new BrittleLimit(registration.id());
        this.choice = new RouteChoice(RouteChoice.Kind.ENDPOINT, registration.id());
        onRegistered(registration, now);
    }

    void onRegistered(EndpointRegistration newer, long now) {
        boolean restarted = registration != null && registration.bornMillis() != newer.bornMillis();
        boolean modelsChanged = registration == null || !registration.models().equals(newer.models());
        registration = newer;
        removed = false;
        if (restarted) {
            cache.clear();
            reportedModels = null;
            health.reset();
            brittleLimit.setBrittle(false);
            backOffUntil = Long.MIN_VALUE / 2;
        }
        boolean hasControllerReport = now - controllerSeenAt < CONTROLLER_REPORT_VALID_MILLIS;
        if (restarted || modelsChanged && !hasControllerReport) {
            setResidentModels(newer.models());
        }
        if (newer.coldMillis() > 0) {
            coldLimiter.setCold(newer.coldMillis(), now);
        }
    }

    /** Sets whether this host does not reach the endpoint itself. */
    void setPathDown(boolean down) {
        pathDown = down;
    }

    /** Returns whether this endpoint has a software version, or any if the version is null. */
    boolean hasSoftwareVersion(String version) {
        return version == null || version.equals(registration.softwareVersion());
    }

    /** Applies the list of loaded models that the controller reported. */
    void onControllerReport(List<ResidentModel> models, long now) {
        controllerSeenAt = now;
        reportedModels = List.copyOf(models);
        missingStatedAt = Long.MAX_VALUE;
        setResidentModels(reportedModels);
    }

    /** Records that the controller is alive, so that its last report on this endpoint, if any, stays valid. */
    void onControllerAlive(long now) {
        if (reportedModels == null) {
            return;
        }
        controllerSeenAt = now;
        if (now - missingStatedAt > ENDPOINT_STATEMENT_VALID_MILLIS) {
            // By now the controller would have reported a model that the endpoint has lost.
            missingStatedAt = Long.MAX_VALUE;
            setResidentModels(reportedModels);
        }
    }

    private void setResidentModels(Iterable<ResidentModel> models) {
        Set<String> before = Set.copyOf(resident.keySet());
        resident.clear();
        for (ResidentModel model : models) {
            resident.put(model.model(), new HashSet<>(model.adapters()));
        }
        if (!resident.keySet().containsAll(before)) {
            cache.retainModels(resident.keySet());
        }
    }

    /** Returns the prompt parts processed for requests of this host since the last call, by model. */
    Map<String, Map<Long, Integer>> takeReadParts() {
        return cache.takeNewParts();
    }

    /** Records prompt parts that the endpoint has processed for requests of another host. */
    void recordPlacement(PromptPlacement placement) {
        if (resident.containsKey(placement.model())) {
            cache.addAll(placement.model(), placement.tokens());
        }
    }

    /** Handles the statement of the endpoint that it does not have an artifact loaded. */
    void onArtifactMissing(String model, String adapter, long now) {
        missingStatedAt = now;
        if (adapter == null) {
            resident.remove(model);
            cache.retainModels(resident.keySet());
        } else if (resident.containsKey(model)) {
            resident.get(model).remove(adapter);
        }
    }

    void setProfile(ServiceProfile newProfile) {
        profile = newProfile;
        if (newProfile != null && newProfile.engine() != null) {
            cache.setCapacity(newProfile.engine().cacheTokens());
        }
    }

    /** Sets the time until which this host must send no request to the endpoint. */
    void setBackOff(long until) {
        backOffUntil = until;
    }

    /** Returns the remaining back-off in milliseconds, 0 if requests may be sent. */
    long backOffMillis(long now) {
        return Math.max(0, backOffUntil - now);
    }

    void onRemoved() {
        removed = true;
    }

    boolean isRemoved() {
        return removed;
    }

    EndpointRegistration registration() {
        return registration;
    }

    EndpointHealth health() {
        return health;
    }

    RouteChoice choice() {
        return choice;
    }

    EndpointUse own() {
        return own;
    }

    /** Updates the use by the requests of another host. */
    void updateUse(String host, EndpointUse use) {
        boolean none = use.equals(EndpointUse.NONE);
        EndpointUse old = none ? usesByHost.remove(host) : usesByHost.put(host, use);
        if (old == null && none) {
            return;
        }
        otherHostsUse =
                otherHostsUse.minus(old == null ? EndpointUse.NONE : old).plus(use);
        isStalledForOthers = usesByHost.values().stream().anyMatch(EndpointUse::stalled);
    }

    /** Returns whether it may receive new requests, regardless of load. */
    boolean isInService(Set<String> domainsOut) {
        return !removed && !registration.leaving() && !domainsOut.contains(registration.failureDomain());
    }

    boolean hasLoaded(RequestTarget.RoutedTarget target) {
        if (target.model() == null) {
            return true;
        }
        Set<String> adapters = resident.get(target.model());
        return adapters != null && (target.adapter() == null || adapters.contains(target.adapter()));
    }

    /** Returns the limit on requests in flight while the endpoint is brittle. */
    BrittleLimit brittleLimit() {
        return brittleLimit;
    }

    boolean hasFreeCapacity(RouteQuery query, FleetShare share, long now) {
        EndpointUse all = own.plus(otherHostsUse);
        boolean free = all.inFlight() < registration.slots();
        return free
                && now >= backOffUntil
                && !isStalled(now)
                && !isStalledForOthers
                && hasFreeMemory(all, query.prompt())
                && canStartInTime(all, query, now)
                && health.isUsable(responsive(), now)
                && brittleLimit.canSend(own.inFlight(), all.inFlight(), registration.slots(), share, now)
                && coldLimiter.canSend(coldRate(), share.ofColdEndpoint(), now);
    }

    /** Returns the predicted milliseconds until a request would start on this endpoint. */
    long millisToStart(RouteQuery query) {
        return rate.millisToRead(tokensAhead(query));
    }

    /**
     * Returns whether a request would start by its objective. A request that has missed its objective is accepted only
     * where the backlog is small, so that it does not delay others.
     */
    private boolean canStartInTime(EndpointUse all, RouteQuery query, long now) {
        if (all.inFlight() == 0 || query.prompt().inputTokens() == 0) {
            return true;
        }
        long left = query.objective() - now;
        return millisToStart(query) <= Math.max(left, LATE_START_MILLIS);
    }

    /** Returns the prompt tokens that the endpoint must process before the request can start. */
    long tokensAhead(RouteQuery query) {
        return own.plus(otherHostsUse).unreadTokens() + unreadTokensOf(query);
    }

    /** Returns the share of its slots in use. */
    double utilisation() {
        return (double) own.plus(otherHostsUse).inFlight() / Math.max(1, registration.slots());
    }

    RouteForecast onAttemptStarted(String via, RouteQuery query, FleetShare share, long now) {
        RouteForecast forecast =
                new RouteForecast(millisToStart(query), own.plus(otherHostsUse).inFlight(), tokensAhead(query));
        EndpointUse use = new EndpointUse(1, unreadTokensOf(query), memoryTokensOf(query.prompt()));
        long overdue = now + STALL_FACTOR * forecast.startMillis() + STALL_MILLIS;
        running.put(query, new Running(via, use, forecast.unreadTokens(), now, overdue));
        own = own.plus(use);
        if (query.target() instanceof RequestTarget.RoutedTarget target) {
            cache.add(target, query.prompt());
        }
        coldLimiter.recordSent(coldRate(), share.ofColdEndpoint(), now);
        return forecast;
    }

    /** Adds the requests of this host that are in flight here by model and adapter. */
    void countInFlight(Map<RequestTarget.RoutedTarget, Integer> inFlight) {
        for (RouteQuery query : running.keySet()) {
            if (query.target() instanceof RequestTarget.RoutedTarget target && target.model() != null) {
                inFlight.merge(target, 1, Integer::sum);
            }
        }
    }

    /** Records that the endpoint has processed the prompt of a request. */
    void onFirstByte(RouteQuery query, long now) {
        Running known = running.get(query);
        if (known != null) {
            rate.addSample(known.tokensAhead(), now - known.sentAt());
            EndpointUse read = new EndpointUse(0, known.use().unreadTokens(), 0);
            running.put(query, new Running(known.via(), known.use().minus(read), 0, known.sentAt(), Long.MAX_VALUE));
            own = own.minus(read);
        }
    }

    /** Handles the end of a request; returns the host that passed it on, null if there was none. */
    String onAttemptEnded(RouteQuery query, long now) {
        Running known = running.remove(query);
        if (known != null) {
            own = own.minus(known.use());
            if (now >= known.startsBy() && !isCutOff(known)) {
                health.onEndpointLost(health.lossEpoch(), now);
            }
        }
        return known == null ? null : known.via();
    }

    /** Returns whether the response to a request is far later than predicted. */
    boolean isStalled(RouteQuery query, long now) {
        Running known = running.get(query);
        return known != null && now >= known.startsBy();
    }

    /**
     * Returns whether the response to any request of this host is far later than predicted. A request on a path that is
     * down since says nothing about the endpoint.
     */
    boolean isStalled(long now) {
        for (Running each : running.values()) {
            if (now >= each.startsBy() && !isCutOff(each)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the response to a request cannot arrive because this host has lost its path to the endpoint. */
    private boolean isCutOff(Running request) {
        return pathDown && request.via() == null;
    }

    /** Returns the number of requests of this host in flight whose responses can arrive. */
    private int responsive() {
        return (int) running.values().stream().filter(each -> !isCutOff(each)).count();
    }

    /**
     * Returns whether the endpoint is stalled although its path is known to be up; has the path checked if it is stalled.
     */
    boolean isStalled(EndpointPaths paths, long now) {
        if (!isStalled(now)) {
            return false;
        }
        paths.requestCheck(registration.id(), now);
        return paths.isSound(registration.id(), now);
    }

    private long unreadTokensOf(RouteQuery query) {
        int cached = query.target() instanceof RequestTarget.RoutedTarget target
                ? cache.cachedTokens(target, query.prompt())
                : 0;
        return query.prompt().inputTokens() - cached;
    }

    private boolean hasFreeMemory(EndpointUse all, PromptShape prompt) {
        if (profile == null || profile.engine() == null) {
            return true;
        }
        double limit = USABLE_MEMORY_SHARE * profile.engine().cacheTokens();
        return all.inFlight() == 0 || all.memoryTokens() + memoryTokensOf(prompt) <= limit;
    }

    private static long memoryTokensOf(PromptShape prompt) {
        return (long) prompt.inputTokens() + prompt.outputTokens();
    }

    private double coldRate() {
        return profile == null ? 0 : profile.coldRequestsPerSecond();
    }
}
