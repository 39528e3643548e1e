package org.gooseberryring.host.entry;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.gooseberryring.coordination.direct.DirectRouter;
import org.gooseberryring.coordination.direct.EndpointUse;
import org.gooseberryring.coordination.direct.FleetShare;
import org.gooseberryring.coordination.direct.PromptPlacement;
import org.gooseberryring.coordination.limit.SharedLimits;
import org.gooseberryring.coordination.queue.QueueSettings;
import org.gooseberryring.coordination.request.ArtifactUse;
import org.gooseberryring.coordination.request.FairRequestQueue;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestEngine;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.retry.CrashSuspects;
import org.gooseberryring.coordination.retry.RetryAllowance;
import org.gooseberryring.coordination.retry.RouteRetries;
import org.gooseberryring.host.caller.CallerEffects;
import org.gooseberryring.host.engine.LimiterInputs;
import org.gooseberryring.host.engine.RequestLoop;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.Organisation;
import org.gooseberryring.state.OrganisationTerms;
import org.gooseberryring.state.ResidentModel;
import org.gooseberryring.state.ServingConfiguration;

/** Request thread of an entry host with the components that decide on it. */
final class EntryRequests {
    private static final int RING_SIZE = 4_096;
    private static final long MAX_RUN_MILLIS = 600_000;

    /** Endpoints that a request may crash before all hosts refuse it; two can crash for another reason. */
    private static final int QUARANTINE_LOSSES = 3;

    private final DirectRouter router;
    private final SharedLimits limits;
    private final RouteRetries retries;
    private final RequestLoop loop;
    private final HostChangeQueue news = new HostChangeQueue();

    /**
     * Creates the thread; it is not started.
     *
     * @param effects carries out what the engine decides
     * @param wanted hears which models and adapters requests wait for, on the request thread
     * @param seed seed of the choice among equal endpoints
     * @param clock monotonic milliseconds
     */
    EntryRequests(
            EntrySettings settings,
            CallerEffects effects,
            Consumer<List<RequestTarget.RoutedTarget>> wanted,
            long seed,
            LongSupplier clock) {
        router = new DirectRouter(settings.failureDomain(), new Random(seed));
        limits = new SharedLimits(settings.limitWindowMillis());
        retries = new RouteRetries(settings.retries());
        RequestEngine engine = new RequestEngine(
                limits,
                new FairRequestQueue(QueueSettings.defaults()),
                router,
                retries,
                new CrashSuspects(QUARANTINE_LOSSES),
                MAX_RUN_MILLIS);
        loop = new RequestLoop(RING_SIZE, engine, new AfterInputs(limits, router, wanted), effects, clock);
        effects.connect(loop);
    }

    RequestLoop loop() {
        return loop;
    }

    /** Hands a new request to the engine; returns false if there is no room for new work. */
    boolean arrived(RequestSpec spec) {
        loop.offer((engine, now) -> {
            router.recordDemand(spec.target(), spec.handling().prompt(), now);
            return List.of();
        });
        return loop.arrived(spec);
    }

    /** Refuses the requests that no endpoint runs, now and from now on. */
    void refuseWaiting() {
        loop.put((engine, now) -> engine.shuttingDown(now));
        loop.put((engine, now) -> engine.refuseWaiting(now));
    }

    /** Takes over a configuration. */
    void configured(ServingConfiguration configuration) {
        List<Organisation> organisations = configuration.organisations().values().stream()
                .map(OrganisationTerms::organisation)
                .toList();
        loop.put((engine, now) -> {
            limits.configured(organisations, now);
            router.configured(configuration);
            return engine.changed(now);
        });
    }

    /** Takes over what an endpoint registered. */
    void registered(EndpointRegistration registration) {
        loop.put((engine, now) -> {
            router.onEndpointRegistered(registration, now);
            return engine.changed(now);
        });
    }

    /** Takes an endpoint out for good. */
    void unregistered(String endpoint) {
        loop.put((engine, now) -> {
            router.onEndpointRemoved(endpoint);
            return engine.changed(now);
        });
    }

    /** Takes over the failure domains that get no new work. */
    void domainsOut(Set<String> domains) {
        loop.put((engine, now) -> {
            router.setDomainsOut(domains);
            return engine.changed(now);
        });
    }

    /** Takes over what an endpoint holds, as its controller says. */
    void holds(String endpoint, List<ResidentModel> models) {
        loop.put((engine, now) -> {
            router.onResidentModelsReported(endpoint, models, now);
            return engine.changed(now);
        });
    }

    /** Notes that an endpoint stated that it does not hold what a request needs. */
    void lacks(String endpoint, RequestTarget target) {
        loop.put((engine, now) -> {
            router.onArtifactMissing(endpoint, target, now);
            return List.of();
        });
    }

    /** Takes over that an endpoint wants no request of this host before a time. */
    void backOff(EndpointProcess process, long until) {
        loop.put((engine, now) -> {
            router.backOff(process, until);
            return engine.changed(now);
        });
    }

    /** Takes over the retries that services bear. */
    void retries(RetryAllowance allowance) {
        loop.put((engine, now) -> {
            retries.allowance(allowance);
            return List.of();
        });
    }

    /** Notes that an endpoint crashed while it ran a request. */
    void endpointCrashed(String endpoint, String digest) {
        loop.put((engine, now) -> engine.endpointCrashed(digest, endpoint, now));
    }

    /** Takes over what another host counted of a request that crashes endpoints. */
    void quarantined(String reporter, String digest, int losses) {
        loop.put((engine, now) -> engine.quarantined(reporter, digest, losses, now));
    }

    /** Takes over the place of this host among all hosts. */
    void share(FleetShare share) {
        loop.put((engine, now) -> {
            router.setHostShare(share);
            retries.hosts(share.hosts());
            return List.of();
        });
    }

    /** Takes over changes of another host's state; what waits is taken over together. */
    void changed(HostChanges changes) {
        news.changed(changes);
        sendUpdates();
    }

    /** Takes over that another host gave no sign of life for a long time. */
    void gone(String host) {
        news.gone(host);
        sendUpdates();
    }

    /** Takes over the milliseconds since the last sign of life of each other host. */
    void heard(Map<String, Long> ages) {
        news.ages(ages);
        sendUpdates();
    }

    /** Takes over the failure domains whose controllers live. */
    void controlled(Collection<String> failureDomains) {
        loop.put((engine, now) -> {
            router.onControllersAlive(failureDomains, now);
            return List.of();
        });
    }

    /** Hands what this host serves, has admitted and is asked for to the receiver, on the request thread. */
    void snapshot(Consumer<HostSnapshot> receiver) {
        loop.offer((engine, now) -> {
            receiver.accept(
                    new HostSnapshot(router.uses(now), router.takePlacements(), limits.used(), router.demands(now)));
            return List.of();
        });
    }

    private void sendUpdates() {
        if (news.mustTell() && !loop.tryPut((engine, now) -> takeHostChanges(engine, now))) {
            news.notTold();
        }
    }

    private List<RequestEffect> takeHostChanges(RequestEngine engine, long now) {
        HostChangeQueue.Batch batch = news.take();
        for (HostChanges changes : batch.changes()) {
            router.updateUse(changes.host(), changes.uses(), changes.complete());
            router.recordPlacements(changes.placements());
            limits.usedBy(changes.host(), changes.incarnation(), changes.usedTokens(), now);
        }
        batch.gone().forEach(router::onHostRemoved);
        batch.gone().forEach(limits::gone);
        batch.ages().forEach((host, age) -> limits.heard(host, age, now));
        return batch.changes().isEmpty() ? List.of() : engine.changed(now);
    }

    /**
     * State of the request thread that other hosts need.
     *
     * @param uses what its requests take of each endpoint
     * @param placements prompt parts that endpoints have read since the last snapshot
     * @param usedTokens tokens admitted since the start of its process by organisation
     * @param artifacts what is asked for by model and adapter
     */
    record HostSnapshot(
            Map<String, EndpointUse> uses,
            List<PromptPlacement> placements,
            Map<String, Long> usedTokens,
            Map<RequestTarget.RoutedTarget, ArtifactUse> artifacts) {}

    private record AfterInputs(
            SharedLimits limits, DirectRouter router, Consumer<List<RequestTarget.RoutedTarget>> wanted)
            implements LimiterInputs {
        @Override
        public void tick(long now) {
            limits.tick(now);
        }

        /** Shared limits decide at once, so no decision is pending; what requests lack is asked for. */
        @Override
        public void settle(RequestEngine engine, Consumer<RequestEffect> effects, long now) {
            List<RequestTarget.RoutedTarget> lacking = router.takeRequestedArtifacts();
            if (!lacking.isEmpty()) {
                wanted.accept(lacking);
            }
        }
    }
}
