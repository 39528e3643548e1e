package org.gooseberryring.host.entry;

import java.util.function.BiConsumer;

import org.gooseberryring.coordination.stream.StreamTable;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.ServingConfiguration;
import org.gooseberryring.transport.endpoint.EndpointProtocol;
import org.gooseberryring.transport.endpoint.EndpointSignals;
import org.gooseberryring.transport.store.ObjectStore;

/** Access of an entry host to the platform that it runs on. */
public interface Deployment {
    /** Returns the collection that contains the operators' configuration. */
    CollectionSource<ServingConfiguration> configurations();

    /** Returns the collection in which endpoints register. */
    CollectionSource<EndpointRegistration> endpoints();

    /** Returns the collection whose names are the drained failure domains, which get no new work. */
    CollectionSource<DomainDrain> domainDrains();

    /** Returns the protocol between callers and this host. */
    CallerProtocol callerProtocol();

    /** Returns the protocol between this host and endpoints. */
    EndpointProtocol endpointProtocol();

    /** Returns the collection in which the hosts register. */
    CollectionSource<HostRegistration> hosts();

    /** Returns the collection in which the hosts write the streams that they begin. */
    CollectionSource<StreamTable> streams();

    /** Returns the store of the state that hosts must agree on. */
    ObjectStore objects();

    /**
     * Returns the client that sends orders to load and unload to endpoints, on behalf of the given host.
     *
     * @param onSignals called on an I/O thread with the signals that endpoints put into their responses
     */
    EndpointOrders orders(String hostId, BiConsumer<EndpointProcess, EndpointSignals> onSignals);
}
