package org.gooseberryring.host.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.ServiceProfile;
import org.gooseberryring.state.ServingConfiguration;

/** What this host believes of the installation, readable from any thread. */
public final class DeploymentView {
    private final Map<String, EndpointRegistration> endpoints = new ConcurrentHashMap<>();
    private volatile ServingConfiguration configuration = ServingConfiguration.none();
    private volatile boolean listed;
    private volatile long versionElsewhere;

    public ServingConfiguration configuration() {
        return configuration;
    }

    /**
     * Returns whether enough is known to serve: the configuration, the endpoints and the failure domains out of service.
     * A host that knows only some of them could send work to what must get none. One that was started when the store had
     * come back from an older copy waits for the configuration that the other hosts have in force.
     */
    public boolean isComplete() {
        return listed && configuration.known() && configuration.version() >= versionElsewhere;
    }

    /** Notes that the endpoints and the failure domains out of service were read. */
    void listed() {
        listed = true;
    }

    /** Takes over the version of a configuration without which this host must not serve. */
    synchronized void needsVersion(long version) {
        versionElsewhere = Math.max(versionElsewhere, version);
    }

    /** Takes over a configuration if it is newer than the present one; returns whether it is. */
    synchronized boolean adopt(ServingConfiguration newer) {
        if (newer.version() <= configuration.version()) {
            return false;
        }
        configuration = newer;
        return true;
    }

    void registered(EndpointRegistration registration) {
        endpoints.put(registration.id(), registration);
    }

    void unregistered(String endpoint) {
        endpoints.remove(endpoint);
    }

    /** Returns what an endpoint registered, or null. */
    public EndpointRegistration registration(String endpoint) {
        return endpoints.get(endpoint);
    }

    /** Returns the process of an endpoint, one of unknown start if it is not registered. */
    EndpointProcess process(String endpoint) {
        EndpointRegistration found = endpoints.get(endpoint);
        return found == null ? new EndpointProcess(endpoint, 0) : found.process();
    }

    /** Returns whether a process is registered and takes no new work. */
    boolean isLeaving(EndpointProcess process) {
        EndpointRegistration found = endpoints.get(process.endpoint());
        return found != null && found.leaving() && found.process().equals(process);
    }

    /** Returns the path of the health check of a service's endpoints. */
    String healthPath(String service) {
        ServiceProfile profile = configuration.services().get(service);
        return profile == null ? "/" : profile.healthPath();
    }

    public int endpointCount() {
        return endpoints.size();
    }

    /** Returns an endpoint as a request is sent to it, or null. */
    Endpoint endpoint(String id) {
        EndpointRegistration found = endpoints.get(id);
        if (found == null) {
            return null;
        }
        EndpointKind kind = found.models().isEmpty() ? EndpointKind.SERVICE : EndpointKind.MODEL;
        return new Endpoint(id, kind, found.failureDomain(), found.address(), 0, found.slots(), false, found.leaving());
    }
}
