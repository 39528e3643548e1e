package org.gooseberryring.host.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.gooseberryring.coordination.feed.FeedListener;
import org.gooseberryring.coordination.feed.FeedPosition;
import org.gooseberryring.coordination.feed.FeedTimes;
import org.gooseberryring.coordination.residency.ResidencyController;
import org.gooseberryring.coordination.store.StorePosition;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.ServingConfiguration;
import org.jboss.logging.Logger;

/** Follows the configuration, the endpoints, the drained failure domains and the hosts in the platform's store. */
final class DeploymentFeeds implements PeerExchange.FleetListener {
    private static final Logger LOG = Logger.getLogger(DeploymentFeeds.class);

    /** Time for which changes of endpoints are batched; there are several a second while models move. */
    private static final long ENDPOINT_PAUSE_MILLIS = 300;

    private static final long HOST_PAUSE_MILLIS = 1_000;

    /** Maximum wait of a watch of the hosts. No time limit depends on it, since a change ends the wait at once. */
    private static final long HOST_WATCH_MILLIS = 10_000;

    /** Grace period for registrations after an outage; live endpoints register again within 2 s of the return of the store. */
    private static final long REGISTRATION_GRACE_MILLIS = 1_900;

    /** Time in which operators and hosts write again what is missing after the store was restored from an older copy. */
    private static final long REWRITE_GRACE_MILLIS = 5_000;

    /** Time after its start in which a host requires the configuration version that other hosts have in force. */
    private static final long CATCH_UP_MILLIS = 5_000;

    /** Time within which all hosts must have been heard so that their endpoints are known without the store. */
    private static final long MAX_HOST_SILENCE_MILLIS = 1_000;

    private final DeploymentView view;
    private final EntryRequests requests;
    private final ResidencyController controller;
    private final Consumer<ServingConfiguration> onAdopted;
    private final ProcessListener processListener;
    private final Set<String> drainedDomains = new HashSet<>();
    private final LeavingEndpoints leaving = new LeavingEndpoints();
    private final FeedRunner<ServingConfiguration> configurations;
    private final FeedRunner<EndpointRegistration> endpoints;
    private final FeedRunner<DomainDrain> drains;
    private final FeedRunner<HostRegistration> hosts;
    private final List<FeedRunner<?>> runners;
    private final PeerExchange exchange;
    private final StoreEpochs epochs;
    private final long startedAt;
    private boolean registryCurrent;
    private boolean endpointsListed;
    private boolean drainsListed;

    /** Listener for the processes of endpoints. */
    interface ProcessListener {
        /** Called when a process is registered, also again. */
        void onProcessRegistered(EndpointProcess process);

        /** Called when a registered process has left or another one takes its place. */
        void onProcessGone(EndpointProcess process, long now);
    }

    /**
     * Creates the feeds.
     *
     * @param hostListener notified of changes of the other hosts
     * @param onAdopted called with each configuration that takes effect
     * @param processListener notified of the processes of endpoints
     */
    DeploymentFeeds(
            Deployment deployment,
            ControlLoop control,
            DeploymentView view,
            EntryRequests requests,
            ResidencyController controller,
            FeedListener<HostRegistration> hostListener,
            Consumer<ServingConfiguration> onAdopted,
            ProcessListener processListener,
            PeerExchange exchange,
            StoreEpochs epochs,
            EntrySettings settings,
            SplittableRandom random,
            long now) {
        this.view = view;
        this.requests = requests;
        this.controller = controller;
        this.onAdopted = onAdopted;
        this.processListener = processListener;
        this.exchange = exchange;
        this.epochs = epochs;
        this.startedAt = now;
        configurations = runner(
                "configurations",
                deployment.configurations(),
                control,
                FeedTimes.within(settings.configurationMillis(), 0, 0, REWRITE_GRACE_MILLIS, 0),
                new Configurations(),
                random,
                now);
        endpoints = runner(
                "endpoints",
                deployment.endpoints(),
                control,
                FeedTimes.within(
                        settings.endpointLeaveMillis(),
                        ENDPOINT_PAUSE_MILLIS,
                        REGISTRATION_GRACE_MILLIS,
                        REGISTRATION_GRACE_MILLIS,
                        settings.registrationLapseMillis()),
                new Endpoints(),
                random,
                now);
        drains = runner(
                "domain-exits",
                deployment.domainDrains(),
                control,
                FeedTimes.within(settings.domainLeaveMillis(), 0, 0, REWRITE_GRACE_MILLIS, 0),
                new DomainDrains(),
                random,
                now);
        hosts = runner(
                "hosts",
                deployment.hosts(),
                control,
                FeedTimes.withWait(HOST_WATCH_MILLIS, HOST_PAUSE_MILLIS, 0, REWRITE_GRACE_MILLIS, 0),
                hostListener,
                random,
                now);
        runners = List.of(configurations, endpoints, drains, hosts);
    }

    private <T> FeedRunner<T> runner(
            String collection,
            CollectionSource<T> source,
            ControlLoop control,
            FeedTimes times,
            FeedListener<T> listener,
            SplittableRandom random,
            long now) {
        return new FeedRunner<>(
                collection, source, control, times, listener, exchange::forwardChanges, epochs, random.split(), now);
    }

    @Override
    public void onChangesForwarded(String collection, StorePosition from, byte[] encoded, long arrivedAt, long now) {
        runners.stream()
                .filter(runner -> runner.collection().equals(collection))
                .forEach(runner -> runner.onChangesForwarded(from, encoded, arrivedAt, now));
    }

    /** Handles the signal of an endpoint that it is leaving, and notifies the other hosts; runs on the control thread. */
    void onEndpointLeaving(EndpointProcess process) {
        if (markLeaving(process)) {
            exchange.onEndpointLeaving(process);
        }
    }

    @Override
    public void onEndpointLeavingElsewhere(EndpointProcess process) {
        markLeaving(process);
    }

    @Override
    public void onConfigurationElsewhere(long version, long now) {
        if (now - startedAt <= CATCH_UP_MILLIS) {
            view.requireVersion(version);
        }
    }

    /** Marks a process as leaving; returns whether the process is registered and was not known to be leaving. */
    private boolean markLeaving(EndpointProcess process) {
        boolean isNew = leaving.add(process);
        EndpointRegistration known = view.registration(process.endpoint());
        if (!isNew || known == null || !known.process().equals(process)) {
            return false;
        }
        LogLine.event("endpoint-leaving")
                .with("endpoint", process.endpoint())
                .with("bornMs", process.bornMillis())
                .info(LOG);
        applyRegistration(known.asLeaving());
        return true;
    }

    private void applyRegistration(EndpointRegistration registration) {
        view.register(registration);
        requests.onEndpointRegistered(registration);
        controller.onEndpointRegistered(registration);
        processListener.onProcessRegistered(registration.process());
    }

    /** Runs the feeds that are due; must be called on the control thread. */
    void tick(long now) {
        runners.forEach(runner -> {
            runner.followRelay(exchange.relayPosition(runner.collection(), now), now);
            runner.tick(now);
        });
        Map<String, FeedPosition> positions = new HashMap<>();
        runners.forEach(runner -> positions.put(runner.collection(), runner.position(now)));
        exchange.setPositions(positions, now);
        view.confirmConfiguration(configurations.confirmedAt());
        updateRegistryCurrent(now);
    }

    /** While the store does not respond, no host knows more than the others, if this one hears all of them. */
    private void updateRegistryCurrent(long now) {
        boolean current = endpointsListed && (endpoints.isCurrent(now) || hasSeenAllHosts(now));
        if (current != registryCurrent) {
            registryCurrent = current;
            requests.setRegistryCurrent(current);
        }
    }

    private boolean hasSeenAllHosts(long now) {
        return exchange.ages(now).values().stream().allMatch(age -> age <= MAX_HOST_SILENCE_MILLIS);
    }

    private void updateListed() {
        if (endpointsListed && drainsListed) {
            view.markListed();
        }
    }

    private static void logContact(String collection, boolean inContact) {
        LogLine.event(inContact ? "store-regained" : "store-lost")
                .with("collection", collection)
                .info(LOG);
    }

    private final class Configurations implements FeedListener<ServingConfiguration> {
        @Override
        public void onChanged(String name, ServingConfiguration value, long now) {
            if (value == null || !view.adopt(value)) {
                LogLine.event("configuration-ignored")
                        .with("name", name)
                        .with("version", value == null ? "unreadable" : value.version())
                        .with("inForce", view.configuration().version())
                        .warn(LOG);
                return;
            }
            LogLine.event("configuration-adopted")
                    .with("version", value.version())
                    .with("routes", value.routes().size())
                    .with("organisations", value.organisations().size())
                    .info(LOG);
            exchange.onConfigurationAdopted(value.version());
            requests.onConfigurationAdopted(value);
            controller.onConfigurationChanged(value);
            onAdopted.accept(value);
        }

        @Override
        public void onRemoved(String name, long now) {
            LogLine.event("configuration-removed").with("name", name).warn(LOG);
        }

        @Override
        public void onContactChanged(boolean inContact, long now) {
            logContact("configuration", inContact);
        }
    }

    private final class Endpoints implements FeedListener<EndpointRegistration> {
        @Override
        public void onChanged(String name, EndpointRegistration value, long now) {
            if (value == null) {
                onRemoved(name, now);
                return;
            }
            EndpointRegistration before = view.registration(name);
            if (before != null && before.bornMillis() != value.bornMillis()) {
                processListener.onProcessGone(before.process(), now);
                exchange.removeEndpoint(name);
            }
            EndpointRegistration current = leaving.withLeaving(value);
            applyRegistration(current);
            if (before == null || !before.softwareVersion().equals(value.softwareVersion())) {
                exchange.requestSnapshot();
            }
            LogLine.event("endpoint-registered")
                    .with("endpoint", name)
                    .with("service", value.service())
                    .with("failureDomain", value.failureDomain())
                    .with("leaving", current.leaving())
                    .with("coldMs", value.coldMillis())
                    .with("models", value.models().size())
                    .with("version", value.softwareVersion())
                    .info(LOG);
        }

        @Override
        public void onRemoved(String name, long now) {
            EndpointRegistration known = view.registration(name);
            if (known != null) {
                processListener.onProcessGone(known.process(), now);
                view.unregister(name);
                exchange.removeEndpoint(name);
                leaving.onRemoved(name);
                requests.onEndpointUnregistered(name);
                controller.onEndpointRemoved(name);
                LogLine.event("endpoint-gone").with("endpoint", name).info(LOG);
            }
        }

        @Override
        public void onListed(StorePosition at, long now) {
            endpointsListed = true;
            updateRegistryCurrent(now);
            updateListed();
            LogLine.event("endpoints-listed")
                    .with("at", at)
                    .with("endpoints", view.endpointCount())
                    .info(LOG);
        }

        @Override
        public void onContactChanged(boolean inContact, long now) {
            logContact("endpoints", inContact);
        }
    }

    private final class DomainDrains implements FeedListener<DomainDrain> {
        @Override
        public void onChanged(String name, DomainDrain value, long now) {
            // The name alone identifies the drained domain, so an entry with unreadable content counts too.
            drainedDomains.add(name);
            apply(name, true);
        }

        @Override
        public void onRemoved(String name, long now) {
            drainedDomains.remove(name);
            apply(name, false);
        }

        @Override
        public void onListed(StorePosition at, long now) {
            drainsListed = true;
            updateListed();
        }

        private void apply(String domain, boolean drained) {
            view.setDomainsOut(Set.copyOf(drainedDomains));
            requests.setDrainedDomains(Set.copyOf(drainedDomains));
            controller.setDrainedDomains(drainedDomains);
            LogLine.event("failure-domain")
                    .with("failureDomain", domain)
                    .with("out", drained)
                    .info(LOG);
        }
    }
}
