package org.gooseberryring.coordination.residency;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.gooseberryring.coordination.ratelimit.RateLimit;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.request.RequestedArtifact;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.EngineProfile;
import org.gooseberryring.state.ResidentModel;
import org.gooseberryring.state.ServiceProfile;
import org.gooseberryring.state.ServingConfiguration;

/** Endpoints of all failure domains and the models reported as loaded or loading on them. */
final class Fleet {
    private static final int UNKNOWN = -1;

    private final Map<String, EndpointRegistration> registrations = new TreeMap<>();
    private final Map<String, Set<String>> models = new HashMap<>();
    private final Set<String> loading = new HashSet<>();
    private final Map<String, RateLimit> limits = new HashMap<>();
    private final Map<String, ServiceView> views = new HashMap<>();
    private int failureDomains = UNKNOWN;
    private ServingConfiguration configuration = ServingConfiguration.none();
    private Set<String> drainedDomains = Set.of();

    /**
     * Endpoints of a service that accept requests, derived from the rest when it is first needed after a change.
     *
     * @param replicas number of them that have a model and no low rate limit, by model
     */
    private record ServiceView(
            List<EndpointRegistration> endpoints, Set<String> identifiers, Map<String, Integer> replicas) {}

    void setConfiguration(ServingConfiguration newConfiguration) {
        configuration = newConfiguration;
    }

    void setDrainedDomains(Set<String> domains) {
        drainedDomains = Set.copyOf(domains);
        invalidate();
    }

    void onRegistered(EndpointRegistration registration) {
        EndpointRegistration old = registrations.put(registration.id(), registration);
        invalidate();
        boolean unreported = old == null && !models.containsKey(registration.id());
        if (unreported
                || old != null && !old.models().equals(registration.models())
                || old != null && old.bornMillis() != registration.bornMillis()) {
            setModels(registration.id(), registration.models(), null);
        }
    }

    void onRemoved(String endpoint) {
        registrations.remove(endpoint);
        invalidate();
        models.remove(endpoint);
        loading.remove(endpoint);
        limits.remove(endpoint);
    }

    void setRateLimit(String endpoint, RateLimit limit) {
        limits.put(endpoint, limit);
        invalidate();
    }

    /**
     * Returns whether the rate limit of an endpoint is too low for it to count as a replica. An endpoint with a limit
     * of at least one request per second for each of its slots can use all of them.
     */
    boolean isLimited(String endpoint) {
        EndpointRegistration registration = registrations.get(endpoint);
        RateLimit limit = limits.getOrDefault(endpoint, RateLimit.NONE);
        return registration != null && limit.requestsPerSecond() < registration.slots();
    }

    /** Sets the models of an endpoint; the model that it is loading, if any, counts as loaded. */
    void setModels(String endpoint, List<ResidentModel> loaded, String loadingModel) {
        Set<String> names = new HashSet<>();
        loaded.forEach(model -> names.add(model.model()));
        if (loadingModel != null) {
            names.add(loadingModel);
            loading.add(endpoint);
        } else {
            loading.remove(endpoint);
        }
        models.put(endpoint, names);
        invalidate();
    }

    /** Returns whether an endpoint is reported to load a model, or to be about to. */
    boolean isLoading(String endpoint) {
        return loading.contains(endpoint);
    }

    Collection<EndpointRegistration> registrations() {
        return List.copyOf(registrations.values());
    }

    EngineProfile engine(String service) {
        ServiceProfile profile = configuration.services().get(service);
        return profile == null ? null : profile.engine();
    }

    /** Returns the services with model engines. */
    List<String> engineServices() {
        List<String> services = new ArrayList<>();
        configuration.services().forEach((id, profile) -> {
            if (profile.engine() != null) {
                services.add(id);
            }
        });
        return services;
    }

    /** Returns the endpoints of a service that accept requests. */
    List<EndpointRegistration> inService(String service) {
        return view(service).endpoints();
    }

    boolean isInService(EndpointRegistration endpoint) {
        return view(endpoint.service()).identifiers().contains(endpoint.id());
    }

    private ServiceView view(String service) {
        return views.computeIfAbsent(service, this::derive);
    }

    private ServiceView derive(String service) {
        List<EndpointRegistration> endpoints = new ArrayList<>();
        Set<String> identifiers = new HashSet<>();
        Map<String, Integer> replicas = new HashMap<>();
        for (EndpointRegistration registration : registrations.values()) {
            boolean usable = registration.service().equals(service)
                    && !registration.leaving()
                    && !drainedDomains.contains(registration.failureDomain());
            if (usable) {
                endpoints.add(registration);
                identifiers.add(registration.id());
                if (!isLimited(registration.id())) {
                    models(registration.id()).forEach(model -> replicas.merge(model, 1, Integer::sum));
                }
            }
        }
        return new ServiceView(List.copyOf(endpoints), identifiers, replicas);
    }

    /** Returns the endpoints of a service that accept requests and have a software version, null for any. */
    List<EndpointRegistration> inService(String service, String softwareVersion) {
        return inService(service).stream()
                .filter(registration -> hasVersion(registration, softwareVersion))
                .toList();
    }

    /** Returns whether an endpoint has a software version, or any if the version is null. */
    static boolean hasVersion(EndpointRegistration registration, String softwareVersion) {
        return softwareVersion == null || softwareVersion.equals(registration.softwareVersion());
    }

    boolean hasModel(String endpoint, String model) {
        return models.getOrDefault(endpoint, Set.of()).contains(model);
    }

    Set<String> models(String endpoint) {
        return models.getOrDefault(endpoint, Set.of());
    }

    /** Returns the number of endpoints in service with a model, without those with a low rate limit. */
    int replicas(String service, String model) {
        return view(service).replicas().getOrDefault(model, 0);
    }

    /** Returns the number of endpoints in service that may provide an artifact, without those with a low rate limit. */
    int replicas(RequestedArtifact artifact) {
        RequestTarget.RoutedTarget target = artifact.target();
        if (artifact.softwareVersion() == null) {
            return replicas(target.service(), target.model());
        }
        return (int) inService(target.service(), artifact.softwareVersion()).stream()
                .filter(registration -> hasModel(registration.id(), target.model()) && !isLimited(registration.id()))
                .count();
    }

    /** Returns whether another endpoint in service than the given one has a model and no low rate limit. */
    boolean hasReplicaElsewhere(EndpointRegistration endpoint, String model) {
        boolean counted = isInService(endpoint) && hasModel(endpoint.id(), model) && !isLimited(endpoint.id());
        return replicas(endpoint.service(), model) > (counted ? 1 : 0);
    }

    /** Returns whether any endpoint in service that may provide an artifact has its model. */
    boolean isHeld(RequestedArtifact artifact) {
        RequestTarget.RoutedTarget target = artifact.target();
        return inService(target.service(), artifact.softwareVersion()).stream()
                .anyMatch(registration -> hasModel(registration.id(), target.model()));
    }

    /** Returns the number of failure domains with endpoints. */
    int failureDomainCount() {
        if (failureDomains == UNKNOWN) {
            failureDomains = (int) registrations.values().stream()
                    .map(EndpointRegistration::failureDomain)
                    .distinct()
                    .count();
        }
        return failureDomains;
    }

    /** Discards what is derived from the rest, after a change. */
    private void invalidate() {
        views.clear();
        failureDomains = UNKNOWN;
    }
}
