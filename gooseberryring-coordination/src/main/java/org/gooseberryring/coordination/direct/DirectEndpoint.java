package org.gooseberryring.coordination.direct;

import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.route.RouteChoice;
import org.gooseberryring.coordination.route.RouteForecast;
import org.gooseberryring.coordination.route.RouteQuery;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.PromptShape;
import org.gooseberryring.state.ResidentModel;
import org.gooseberryring.state.ServiceProfile;

/** What this host knows of one endpoint. */
final class DirectEndpoint {
    /** Part of the memory for tokens that running requests may fill; the rest absorbs what other hosts send. */
    private static final double MEMORY_SHARE = 0.9;

    /** While its controller is heard of, the registration is older than what the controller says. */
    private static final long ANNOUNCED_MILLIS = 3_000;

    /** Time after which what the controller says counts again although the endpoint stated otherwise. */
    private static final long LACKED_MILLIS = 1_000;

    /** A request that has missed its objective starts where it starts within this time. */
    private static final long LATE_START_MILLIS = 250;

    /** A request is overdue after this multiple of its predicted start, and the time below. */
    private static final long STALL_FACTOR = 4;

    private static final long STALL_MILLIS = 800;

    private final RouteChoice choice;
    private final EndpointHealth health = new EndpointHealth();
    private final ColdEndpointLimiter cold = new ColdEndpointLimiter();
    private final PromptCache cache = new PromptCache(0);
    private final Map<String, Set<String>> resident = new HashMap<>();
    private final Map<String, EndpointUse> others = new HashMap<>();
    // A request keeps its query from its dispatch to its end.
    private final Map<RouteQuery, Running> running = new IdentityHashMap<>();
    private final ReadRate rate;
    private EndpointRegistration registration;
    private ServiceProfile profile;
    private EndpointUse own = EndpointUse.NONE;
    private EndpointUse othersSum = EndpointUse.NONE;
    private boolean removed;
    private boolean othersStalled;
    private List<ResidentModel> reported;
    private long lackedAt = Long.MAX_VALUE;
    private long announcedAt = Long.MIN_VALUE / 2;
    private long backOffUntil = Long.MIN_VALUE / 2;

    /** Request in flight; {@code startsBy} is the time by which its answer is overdue, or never once it has begun. */
    private record Running(EndpointUse use, long tokensAhead, long sentAt, long startsBy) {}

    /** Creates an endpoint; {@code typicalRate} is the rate at which endpoints of its service read prompts. */
    DirectEndpoint(EndpointRegistration registration, ReadRate typicalRate, long now) {
        this.rate = new ReadRate(typicalRate);
        this.choice = new RouteChoice(RouteChoice.Kind.ENDPOINT, registration.id());
        registered(registration, now);
    }

    void registered(EndpointRegistration newer, long now) {
        boolean restarted = registration != null && registration.bornMillis() != newer.bornMillis();
        boolean modelsChanged = registration == null || !registration.models().equals(newer.models());
        registration = newer;
        removed = false;
        if (restarted) {
            cache.clear();
            reported = null;
            health.restarted();
            backOffUntil = Long.MIN_VALUE / 2;
        }
        boolean announced = now - announcedAt < ANNOUNCED_MILLIS;
        if (restarted || modelsChanged && !announced) {
            holds(newer.models());
        }
        if (newer.coldMillis() > 0) {
            cold.cold(newer.coldMillis(), now);
        }
    }

    /** Takes over what its controller says that the endpoint holds. */
    void announced(List<ResidentModel> models, long now) {
        announcedAt = now;
        reported = List.copyOf(models);
        lackedAt = Long.MAX_VALUE;
        holds(reported);
    }

    /** Notes that its controller lives; what it said of this endpoint, if anything, still holds. */
    void controlled(long now) {
        if (reported == null) {
            return;
        }
        announcedAt = now;
        if (now - lackedAt > LACKED_MILLIS) {
            // The controller would have reported by now what the endpoint has lost.
            lackedAt = Long.MAX_VALUE;
            holds(reported);
        }
    }

    private void holds(Iterable<ResidentModel> models) {
        Set<String> before = Set.copyOf(resident.keySet());
        resident.clear();
        for (ResidentModel model : models) {
            resident.put(model.model(), new HashSet<>(model.adapters()));
        }
        if (!resident.keySet().containsAll(before)) {
            cache.retainModels(resident.keySet());
        }
    }

    /** Returns the prompt parts read for requests of this host since the last call by model. */
    Map<String, Map<Long, Integer>> takeReadParts() {
        return cache.takeFresh();
    }

    /** Takes over prompt parts that the endpoint has read for requests of another host. */
    void readForOthers(PromptPlacement placement) {
        if (resident.containsKey(placement.model())) {
            cache.addAll(placement.model(), placement.tokens());
        }
    }

    /** Notes that the endpoint stated that it does not hold an artifact. */
    void lacks(String model, String adapter, long now) {
        lackedAt = now;
        if (adapter == null) {
            resident.remove(model);
            cache.retainModels(resident.keySet());
        } else if (resident.containsKey(model)) {
            resident.get(model).remove(adapter);
        }
    }

    void profile(ServiceProfile newProfile) {
        profile = newProfile;
        if (newProfile != null && newProfile.engine() != null) {
            cache.capacity(newProfile.engine().cacheTokens());
        }
    }

    /** Notes that the endpoint wants no request of this host before a time. */
    void backOff(long until) {
        backOffUntil = until;
    }

    /** Returns the milliseconds for which the endpoint wants no request of this host, 0 if it wants them. */
    long backOffMillis(long now) {
        return Math.max(0, backOffUntil - now);
    }

    void removed() {
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

    /** Takes over what the requests of another host take. */
    void usedBy(String host, EndpointUse use) {
        boolean none = use.equals(EndpointUse.NONE);
        EndpointUse old = none ? others.remove(host) : others.put(host, use);
        if (old == null && none) {
            return;
        }
        othersSum = othersSum.minus(old == null ? EndpointUse.NONE : old).plus(use);
        othersStalled = others.values().stream().anyMatch(EndpointUse::stalled);
    }

    /** Returns whether it may take work at all, whatever its load. */
    boolean inService(Set<String> domainsOut) {
        return !removed && !registration.leaving() && !domainsOut.contains(registration.failureDomain());
    }

    boolean holds(RequestTarget.RoutedTarget target) {
        if (target.model() == null) {
            return true;
        }
        Set<String> adapters = resident.get(target.model());
        return adapters != null && (target.adapter() == null || adapters.contains(target.adapter()));
    }

    boolean hasRoom(RouteQuery query, FleetShare share, long now) {
        EndpointUse all = own.plus(othersSum);
        boolean free = all.inFlight() < registration.slots();
        return free
                && now >= backOffUntil
                && !isStalled(now)
                && !othersStalled
                && fitsMemory(all, query.prompt())
                && startsInTime(all, query, now)
                && health.usable(own.inFlight(), now)
                && cold.open(coldRate(), share, now);
    }

    /** Returns the milliseconds after which a request would start here. */
    long millisToStart(RouteQuery query) {
        return rate.millisToRead(tokensAhead(query));
    }

    /**
     * Returns whether a request would start by its objective. One that has missed it starts only where little waits, so
     * that it delays no other.
     */
    private boolean startsInTime(EndpointUse all, RouteQuery query, long now) {
        if (all.inFlight() == 0 || query.prompt().inputTokens() == 0) {
            return true;
        }
        long left = query.objective() - now;
        return millisToStart(query) <= Math.max(left, LATE_START_MILLIS);
    }

    /** Returns prompt tokens that must be read before the request can start. */
    long tokensAhead(RouteQuery query) {
        return own.plus(othersSum).unreadTokens() + unread(query);
    }

    /** Returns the share of its slots that is taken. */
    double utilisation() {
        return (double) own.plus(othersSum).inFlight() / Math.max(1, registration.slots());
    }

    RouteForecast started(RouteQuery query, FleetShare share, long now) {
        RouteForecast forecast =
                new RouteForecast(millisToStart(query), own.plus(othersSum).inFlight(), tokensAhead(query));
        EndpointUse use = new EndpointUse(1, unread(query), memory(query.prompt()));
        long overdue = now + STALL_FACTOR * forecast.startMillis() + STALL_MILLIS;
        running.put(query, new Running(use, forecast.unreadTokens(), now, overdue));
        own = own.plus(use);
        if (query.target() instanceof RequestTarget.RoutedTarget target) {
            cache.add(target, query.prompt());
        }
        cold.sent(coldRate(), share, now);
        return forecast;
    }

    /** Adds the requests of this host that are in flight here by model and adapter. */
    void countRunning(Map<RequestTarget.RoutedTarget, Integer> inFlight) {
        for (RouteQuery query : running.keySet()) {
            if (query.target() instanceof RequestTarget.RoutedTarget target && target.model() != null) {
                inFlight.merge(target, 1, Integer::sum);
            }
        }
    }

    /** Notes that the endpoint has read the prompt of a request. */
    void onFirstByte(RouteQuery query, long now) {
        Running known = running.get(query);
        if (known != null) {
            rate.measured(known.tokensAhead(), now - known.sentAt());
            EndpointUse read = new EndpointUse(0, known.use().unreadTokens(), 0);
            running.put(query, new Running(known.use().minus(read), 0, known.sentAt(), Long.MAX_VALUE));
            own = own.minus(read);
        }
    }

    void ended(RouteQuery query, long now) {
        Running known = running.remove(query);
        if (known != null) {
            own = own.minus(known.use());
            if (now >= known.startsBy()) {
                health.lost(health.lossEpoch(), now);
            }
        }
    }

    /** Returns whether a request has had no answer for far longer than predicted. */
    boolean isStalled(RouteQuery query, long now) {
        Running known = running.get(query);
        return known != null && now >= known.startsBy();
    }

    /** Returns whether a request of this host has had no answer for far longer than predicted. */
    boolean isStalled(long now) {
        for (Running each : running.values()) {
            if (now >= each.startsBy()) {
                return true;
            }
        }
        return false;
    }

    private long unread(RouteQuery query) {
        int kept = query.target() instanceof RequestTarget.RoutedTarget target
                ? cache.keptTokens(target, query.prompt())
                : 0;
        return query.prompt().inputTokens() - kept;
    }

    private boolean fitsMemory(EndpointUse all, PromptShape prompt) {
        if (profile == null || profile.engine() == null) {
            return true;
        }
        double limit = MEMORY_SHARE * profile.engine().cacheTokens();
        return all.inFlight() == 0 || all.memoryTokens() + memory(prompt) <= limit;
    }

    private static long memory(PromptShape prompt) {
        return (long) prompt.inputTokens() + prompt.outputTokens();
    }

    private double coldRate() {
        return profile == null ? 0 : profile.coldRequestsPerSecond();
    }
}
