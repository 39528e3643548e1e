package org.gooseberryring.host.entry;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import org.gooseberryring.coordination.crash.BrokenAttempt;
import org.gooseberryring.coordination.crash.CrashingParts;
import org.gooseberryring.coordination.crash.PartEvent;
import org.gooseberryring.coordination.crash.PartVerdict;
import org.gooseberryring.coordination.crash.RequestCrash;
import org.gooseberryring.coordination.crash.StoredCrash;
import org.gooseberryring.coordination.direct.DirectRouter;
import org.gooseberryring.coordination.direct.EndpointUse;
import org.gooseberryring.coordination.direct.FleetShare;
import org.gooseberryring.coordination.direct.PermittedChoice;
import org.gooseberryring.coordination.direct.PromptPlacement;
import org.gooseberryring.coordination.limit.SharedLimits;
import org.gooseberryring.coordination.limit.TokenUse;
import org.gooseberryring.coordination.path.EndpointPaths;
import org.gooseberryring.coordination.path.OwnReach;
import org.gooseberryring.coordination.path.RelayFailure;
import org.gooseberryring.coordination.queue.QueueSettings;
import org.gooseberryring.coordination.ratelimit.PermitGrant;
import org.gooseberryring.coordination.ratelimit.PermitRequest;
import org.gooseberryring.coordination.ratelimit.RateLimit;
import org.gooseberryring.coordination.request.ArtifactUse;
import org.gooseberryring.coordination.request.FairRequestQueue;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestEngine;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.request.RequestedArtifact;
import org.gooseberryring.coordination.retry.CrashSuspects;
import org.gooseberryring.coordination.retry.RetryAllowance;
import org.gooseberryring.coordination.retry.RouteRetries;
import org.gooseberryring.coordination.stream.StoredStreams;
import org.gooseberryring.coordination.stream.StreamRecord;
import org.gooseberryring.coordination.stream.StreamTable;
import org.gooseberryring.coordination.stream.StreamVersions;
import org.gooseberryring.host.caller.CallerEffects;
import org.gooseberryring.host.engine.LimiterInputs;
import org.gooseberryring.host.engine.RequestLoop;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.Organisation;
import org.gooseberryring.state.OrganisationTerms;
import org.gooseberryring.state.ResidentModel;
import org.gooseberryring.state.ServingConfiguration;

/** Request thread of an entry host with the router, the limits and the other components that run on it. */
final class EntryRequests {
    private static final int RING_SIZE = 4_096;
    private static final long MAX_RUN_MILLIS = 600_000;

    private final PermittedChoice permitted;
    private final EndpointPaths paths;
    private final DirectRouter router;
    private final SharedLimits limits;
    private final RouteRetries retries;
    private final CrashingParts parts;
    private final StreamVersions streams = new StreamVersions();
    private final RequestLoop loop;
    private final HostChangeQueue hostChanges = new HostChangeQueue();

    /**
     * Creates the thread without starting it.
     *
     * @param effects carries out the effects of the engine
     * @param listener notified of what requests need
     * @param seed random seed of the choice among equal endpoints
     * @param clock monotonic milliseconds
     */
    EntryRequests(
            EntrySettings settings, CallerEffects effects, RequestListener listener, long seed, LongSupplier clock) {
        permitted = new PermittedChoice(new Random(seed));
        paths = new EndpointPaths(settings.failureDomain(), new Random(seed + 1));
        router = new DirectRouter(settings.failureDomain(), permitted, paths);
        limits = new SharedLimits(settings.limitWindowMillis());
        retries = new RouteRetries(settings.retries());
        parts = new CrashingParts(settings.hostId());
        RequestEngine engine = new RequestEngine(
                limits,
                new FairRequestQueue(QueueSettings.defaults()),
                router,
                retries,
                CrashSuspects.isolating(),
                parts,
                streams,
                MAX_RUN_MILLIS);
        loop = new RequestLoop(RING_SIZE, engine, new AfterInputs(limits, router, permitted, listener), effects, clock);
        effects.connect(loop);
    }

    RequestLoop loop() {
        return loop;
    }

    /** Submits a new request to the engine; returns false if the ring buffer has no room for new work. */
    boolean submit(RequestSpec spec) {
        loop.offer((engine, now) -> {
            router.recordDemand(spec.target(), spec.handling().prompt(), now);
            return List.of();
        });
        return loop.arrived(spec);
    }

    /** Rejects the requests that no endpoint runs, now and from now on. */
    void refuseWaiting() {
        loop.put((engine, now) -> engine.shuttingDown(now));
        loop.put((engine, now) -> engine.refuseWaiting(now));
    }

    /** Ends the requests that endpoints still run, because this host stops. */
    void endRunning() {
        loop.put((engine, now) -> engine.endRunning(now));
    }

    /** Applies a configuration. */
    void onConfigurationAdopted(ServingConfiguration configuration) {
        List<Organisation> organisations = configuration.organisations().values().stream()
                .map(OrganisationTerms::organisation)
                .toList();
        loop.put((engine, now) -> {
            limits.configure(organisations, now);
            router.configured(configuration);
            streams.setStreamMillis(configuration.routes().maxResumableMillis());
            return engine.changed(now);
        });
    }

    /** Adds or updates an endpoint. */
    void onEndpointRegistered(EndpointRegistration registration) {
        loop.put((engine, now) -> {
            router.onEndpointRegistered(registration, now);
            streams.onRegistered(registration, now);
            return engine.changed(now);
        });
    }

    /** Removes an endpoint permanently. */
    void onEndpointUnregistered(String endpoint) {
        loop.put((engine, now) -> {
            router.onEndpointRemoved(endpoint);
            streams.onRemoved(endpoint, now);
            return engine.changed(now);
        });
    }

    /** Sets the drained failure domains, which get no new work. */
    void setDrainedDomains(Set<String> domains) {
        loop.put((engine, now) -> {
            router.setDomainsOut(domains);
            return engine.changed(now);
        });
    }

    /** Updates the models that an endpoint has loaded, as reported by its controller. */
    void onModelsReported(String endpoint, List<ResidentModel> models) {
        loop.put((engine, now) -> {
            router.onResidentModelsReported(endpoint, models, now);
            return engine.changed(now);
        });
    }

    /** Records that an endpoint has reported that the target of a request is not loaded. */
    void onMissingArtifact(String endpoint, RequestTarget target) {
        loop.put((engine, now) -> {
            router.onArtifactMissing(endpoint, target, now);
            return List.of();
        });
    }

    /** Sends no requests to a process before the given time. */
    void backOff(EndpointProcess process, long until) {
        loop.put((engine, now) -> {
            router.backOff(process, until);
            return engine.changed(now);
        });
    }

    /** Sets whether a process of an endpoint fails when it must reject many requests. */
    void setBrittle(EndpointProcess process, boolean brittle) {
        loop.put((engine, now) -> {
            router.setBrittle(process, brittle);
            return engine.changed(now);
        });
    }

    /** Sets the rate limit of a process of an endpoint. */
    void setRateLimit(EndpointProcess process, RateLimit limit) {
        loop.put((engine, now) -> {
            permitted.setLimit(process, limit);
            return engine.changed(now);
        });
    }

    /** Passes permits to the requests that wait for them. */
    void onPermitGrant(PermitGrant grant) {
        loop.put((engine, now) -> {
            permitted.onGrant(grant, now);
            return engine.changed(now);
        });
    }

    /** Handles that this host could not open a connection to an endpoint. */
    void onConnectFailed(String endpoint) {
        changePaths(now -> paths.onConnectFailed(endpoint, now));
    }

    /** Handles the result of a check of the path to an endpoint. */
    void onPathChecked(String endpoint, boolean connected) {
        changePaths(now -> paths.onChecked(endpoint, connected, now));
    }

    /** Handles that another host has not passed a request on to an endpoint. */
    void onRelayFailed(String host, String endpoint, RelayFailure failure) {
        changePaths(now -> paths.onRelayFailed(host, endpoint, failure, now));
    }

    /** Returns the address at which a host takes requests of other hosts, null if unknown; for the request thread only. */
    String relayAddress(String host) {
        return paths.relayAddress(host);
    }

    private void changePaths(LongConsumer change) {
        loop.put((engine, now) -> {
            change.accept(now);
            router.onPathsChanged();
            return engine.changed(now);
        });
    }

    /** Sets the retry allowance of services. */
    void setRetryAllowance(RetryAllowance allowance) {
        loop.put((engine, now) -> {
            retries.setAllowance(allowance);
            return List.of();
        });
    }

    /** Records that a process of an endpoint crashed while it was running a request. */
    void onEndpointCrashed(EndpointProcess process, BrokenAttempt attempt) {
        loop.put((engine, now) -> engine.endpointCrashed(process, attempt, now));
    }

    /** Applies the observations and verdicts of another host on prompt parts. */
    void onPartsReported(String reporter, List<PartEvent> events, List<PartVerdict> verdicts) {
        if (events.isEmpty() && verdicts.isEmpty()) {
            return;
        }
        loop.put((engine, now) -> {
            for (PartEvent event : events) {
                if (event instanceof PartEvent.Crashed crashed) {
                    parts.onCrashReported(crashed.process(), crashed.parts(), now);
                } else if (event instanceof PartEvent.Answered answered) {
                    parts.onAnswerReported(answered.part(), answered.ageMillis(), now);
                }
            }
            verdicts.forEach(verdict -> parts.onVerdictReported(reporter, verdict, now));
            return engine.changed(now);
        });
    }

    /** Adds crashes that were read from the store to the evidence against requests. */
    void onCrashesRead(List<StoredCrash> crashes) {
        if (!crashes.isEmpty()) {
            loop.put((engine, now) -> {
                parts.onCrashesRead(crashes, now);
                return List.of();
            });
        }
    }

    /** Records streams that broke off on another host. */
    void onStreamsReported(List<StreamRecord> reported) {
        if (reported.isEmpty()) {
            return;
        }
        loop.put((engine, now) -> {
            reported.forEach(stream -> streams.onReported(stream, now));
            return engine.streamsReported(now);
        });
    }

    /**
     * Records the streams that were read from the store.
     *
     * @param tables tables that have changed
     * @param complete whether all tables have been read
     */
    void onStreamsRead(List<StoredStreams.ReadTable> tables, boolean complete) {
        loop.put((engine, now) -> {
            tables.forEach(each -> streams.onStored(each.table(), each.own(), now));
            if (complete) {
                streams.onStoreRead();
            }
            return engine.streamsReported(now);
        });
    }

    /** Sets whether this host knows all endpoints that the other hosts know. */
    void setRegistryCurrent(boolean current) {
        loop.put((engine, now) -> {
            streams.setRegistryCurrent(current);
            return List.of();
        });
    }

    /** Applies the loss of an endpoint under a request of another host. */
    void onRequestCrashReported(String reporter, RequestCrash crash) {
        loop.put((engine, now) -> engine.crashReported(reporter, crash, now));
    }

    /** Updates the share of this host among all hosts. */
    void setShare(FleetShare share) {
        loop.put((engine, now) -> {
            router.setHostShare(share);
            retries.setHostCount(share.hosts());
            limits.setHostCount(share.hosts());
            return List.of();
        });
    }

    /** Queues changes of another host's state; all queued changes are applied together. */
    void onHostChanged(HostChanges changes) {
        hostChanges.add(changes);
        sendUpdates();
    }

    /** Handles that another host has given no sign of life for a long time. */
    void onHostGone(String host) {
        hostChanges.addGone(host);
        sendUpdates();
    }

    /** Updates the milliseconds since the last sign of life of each other host. */
    void onHostAges(Map<String, Long> ages) {
        hostChanges.setAges(ages);
        sendUpdates();
    }

    /** Updates the failure domains whose controllers are alive. */
    void setControlledDomains(Collection<String> failureDomains) {
        loop.put((engine, now) -> {
            router.onControllersAlive(failureDomains, now);
            return List.of();
        });
    }

    /** Takes over what all hosts have used of the limits, from another host. */
    void takeOverLimits(Map<String, List<Long>> windows) {
        loop.put((engine, now) -> {
            limits.takeOver(windows, now);
            return engine.changed(now);
        });
    }

    /** Passes what all hosts have used of the limits to the receiver, on the request thread. */
    void limitWindows(Consumer<Map<String, List<Long>>> receiver) {
        loop.put((engine, now) -> {
            receiver.accept(limits.windows(now));
            return List.of();
        });
    }

    /** Records what earlier processes have used of the limits, as it was read from the store. */
    void onEarlierExcesses(Map<String, Long> excesses) {
        loop.put((engine, now) -> {
            limits.onEarlierExcesses(excesses, now);
            return List.of();
        });
    }

    /** Passes the tokens beyond what hosts assume when they start to the receiver, on the request thread. */
    void limitExcesses(Consumer<Map<String, Long>> receiver) {
        loop.offer((engine, now) -> {
            receiver.accept(limits.excesses(now));
            return List.of();
        });
    }

    /** Passes a snapshot of the state of the request thread to the receiver, on that thread. */
    void snapshot(Consumer<HostSnapshot> receiver) {
        loop.offer((engine, now) -> {
            receiver.accept(new HostSnapshot(
                    router.uses(now),
                    router.takePlacements(),
                    limits.used(),
                    router.demands(now),
                    parts.verdicts(),
                    parts.requestCrashes(),
                    streams.table(now),
                    paths.reach()));
            return List.of();
        });
    }

    private void sendUpdates() {
        if (hostChanges.markScheduled() && !loop.tryPut((engine, now) -> takeHostChanges(engine, now))) {
            hostChanges.clearScheduled();
        }
    }

    private List<RequestEffect> takeHostChanges(RequestEngine engine, long now) {
        HostChangeQueue.Batch batch = hostChanges.take();
        for (HostChanges changes : batch.changes()) {
            router.updateUse(changes.host(), changes.uses(), changes.complete());
            router.recordPlacements(changes.placements());
            limits.onUsageReport(changes.host(), changes.incarnation(), changes.tokenUses(), now);
            if (changes.reach() != null) {
                paths.onHostReport(changes.host(), changes.reach(), now);
            }
        }
        batch.gone().forEach(router::onHostRemoved);
        batch.gone().forEach(limits::removeHost);
        batch.gone().forEach(paths::onHostRemoved);
        batch.ages().forEach((host, age) -> limits.recordUpdateAge(host, age, now));
        if (!batch.ages().isEmpty()) {
            parts.setHostAges(batch.ages());
            paths.setHostAges(batch.ages(), now);
        }
        return batch.changes().isEmpty() ? List.of() : engine.changed(now);
    }

    /**
     * State of the request thread that other hosts need.
     *
     * @param uses usage of each endpoint by requests of this host
     * @param placements prompt parts that endpoints have processed since the last snapshot
     * @param tokenUses tokens admitted since the start of the process, by organisation
     * @param artifacts demand by model and adapter
     * @param verdicts verdicts on parts of requests
     * @param requestCrashes last crashes that are evidence against whole requests
     * @param streams streams that the store must have
     * @param reach endpoints that this host does not reach itself
     */
    record HostSnapshot(
            Map<String, EndpointUse> uses,
            List<PromptPlacement> placements,
            Map<String, TokenUse> tokenUses,
            Map<RequestTarget.RoutedTarget, ArtifactUse> artifacts,
            List<PartVerdict> verdicts,
            List<StoredCrash> requestCrashes,
            StreamTable streams,
            OwnReach reach) {}

    private record AfterInputs(
            SharedLimits limits, DirectRouter router, PermittedChoice permitted, RequestListener listener)
            implements LimiterInputs {
        @Override
        public void tick(long now) {
            limits.tick(now);
        }

        /**
         * Requests the artifacts and permits that are missing. Shared limits decide immediately, so no decision is
         * pending.
         */
        @Override
        public void settle(RequestEngine engine, Consumer<RequestEffect> effects, long now) {
            List<RequestedArtifact> lacking = router.takeRequestedArtifacts();
            if (!lacking.isEmpty()) {
                listener.onArtifactsMissing(lacking);
            }
            List<PermitRequest> permitRequests = permitted.takePermitRequests(now);
            if (!permitRequests.isEmpty()) {
                listener.onPermitsNeeded(permitRequests);
            }
            permitted.takeLimitedRequests().forEach(listener::onLimited);
            router.paths().takeChecks(now).forEach(listener::onPathCheckNeeded);
        }
    }
}
