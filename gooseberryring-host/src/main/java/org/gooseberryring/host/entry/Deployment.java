package org.gooseberryring.host.entry;

import java.util.function.BiConsumer;

import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.ServingConfiguration;
import org.gooseberryring.transport.endpoint.EndpointProtocol;
import org.gooseberryring.transport.endpoint.EndpointSignals;
import org.gooseberryring.transport.store.ObjectStore;

/** What an entry host needs to know of the platform that it runs on. */
public interface Deployment {
    /** Returns the collection that holds the operators' configuration. */
    CollectionSource<ServingConfiguration> configurations();

    /** Returns the collection in which endpoints register. */
    CollectionSource<EndpointRegistration> endpoints();

    /** Returns the collection whose names are the failure domains that get no new work. */
    CollectionSource<DomainDrain> domainDrains();

    /** Returns how callers' requests are read and answered. */
    CallerProtocol callerProtocol();

    /** Returns how endpoints are spoken to. */
    EndpointProtocol endpointProtocol();

    /** Returns the collection in which the hosts register. */
    CollectionSource<HostRegistration> hosts();

    /** Returns the store of what hosts must agree on. */
    ObjectStore objects();

    /**
     * Returns how endpoints are ordered to load and unload, on behalf of the given host.
     *
     * @param signalled hears what endpoints state of themselves in their answers, on an I/O thread
     */
    EndpointOrders orders(String hostId, BiConsumer<EndpointProcess, EndpointSignals> signalled);
}
