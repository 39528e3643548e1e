package org.gooseberryring.host.entry;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.ServiceProfile;
import org.gooseberryring.state.ServingConfiguration;

/** State of the deployment as known to this host; readable from any thread. */
public final class DeploymentView {
    private final Map<String, EndpointRegistration> endpoints = new ConcurrentHashMap<>();
    private volatile Set<String> domainsOut = Set.of();
    private volatile ServingConfiguration configuration = ServingConfiguration.none();
    private volatile boolean listed;
    private volatile long requiredVersion;
    private volatile long configurationConfirmedAt;

    public ServingConfiguration configuration() {
        return configuration;
    }

    /**
     * Returns whether enough is known to serve: the configuration, the endpoints and the drained failure domains. With only
     * some of them a host could send work to an endpoint that must get none. A host that starts after the store was
     * restored from an older copy also waits for the configuration that the other hosts have in force.
     */
    public boolean isComplete() {
        return listed && configuration.known() && configuration.version() >= requiredVersion;
    }

    /** Records that the endpoints and the drained failure domains have been listed. */
    void markListed() {
        listed = true;
    }

    /** Requires at least this version of the configuration before the host serves. */
    synchronized void requireVersion(long version) {
        requiredVersion = Math.max(requiredVersion, version);
    }

    /** Adopts a configuration if it is newer than the current one; returns whether it is. */
    synchronized boolean adopt(ServingConfiguration newer) {
        if (newer.version() <= configuration.version()) {
            return false;
        }
        configuration = newer;
        return true;
    }

    /** Records the time up to which all changes of the configuration are known, in monotonic milliseconds. */
    void confirmConfiguration(long at) {
        configurationConfirmedAt = at;
    }

    /** Returns the milliseconds for which changes of the configuration may not be known. */
    long configurationAgeMillis(long now) {
        return now - configurationConfirmedAt;
    }

    void register(EndpointRegistration registration) {
        endpoints.put(registration.id(), registration);
    }

    /** Sets the drained failure domains, whose endpoints get no new work. */
    void setDomainsOut(Set<String> domains) {
        domainsOut = Set.copyOf(domains);
    }

    /** Returns whether a failure domain is drained. */
    boolean isOut(String failureDomain) {
        return domainsOut.contains(failureDomain);
    }

    void unregister(String endpoint) {
        endpoints.remove(endpoint);
    }

    /** Returns the registration of an endpoint, or null if it is not registered. */
    public EndpointRegistration registration(String endpoint) {
        return endpoints.get(endpoint);
    }

    /** Returns the process of an endpoint, with an unknown start time (0) if it is not registered. */
    EndpointProcess process(String endpoint) {
        EndpointRegistration found = endpoints.get(endpoint);
        return found == null ? new EndpointProcess(endpoint, 0) : found.process();
    }

    /** Returns whether a process is registered and is leaving, so that it gets no new work. */
    boolean isLeaving(EndpointProcess process) {
        EndpointRegistration found = endpoints.get(process.endpoint());
        return found != null && found.leaving() && found.process().equals(process);
    }

    /** Returns whether a process is registered, is not leaving, and its failure domain is not drained. */
    boolean isInService(EndpointProcess process) {
        EndpointRegistration found = endpoints.get(process.endpoint());
        return found != null
                && found.process().equals(process)
                && !found.leaving()
                && !domainsOut.contains(found.failureDomain());
    }

    /** Returns the path of the health check of a service's endpoints. */
    String healthPath(String service) {
        ServiceProfile profile = configuration.services().get(service);
        return profile == null ? "/" : profile.healthPath();
    }

    public int endpointCount() {
        return endpoints.size();
    }

    /** Returns an endpoint in the form in which requests are sent to it, or null if it is not registered. */
    Endpoint endpoint(String id) {
        EndpointRegistration found = endpoints.get(id);
        if (found == null) {
            return null;
        }
        EndpointKind kind = found.models().isEmpty() ? EndpointKind.SERVICE : EndpointKind.MODEL;
        return new Endpoint(id, kind, found.failureDomain(), found.address(), 0, found.slots(), false, found.leaving());
    }
}
