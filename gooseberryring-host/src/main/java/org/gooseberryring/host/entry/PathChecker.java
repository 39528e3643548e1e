package org.gooseberryring.host.entry;

import java.net.InetSocketAddress;

import org.gooseberryring.host.fleet.HostDirectory;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.transport.http.ConnectionCheck;

/** Opens connections to endpoints to find out whether this host reaches them. */
final class PathChecker {
    private final DeploymentView view;
    private final ConnectionCheck check;
    private final long connectMillis;
    private final Receiver receiver;

    /** Receives the results of checks; called on any thread. */
    @FunctionalInterface
    interface Receiver {
        void onChecked(String endpoint, boolean connected);
    }

    /** Creates a checker; a connection counts as refused after {@code connectMillis} milliseconds. */
    PathChecker(DeploymentView view, ConnectionCheck check, long connectMillis, Receiver receiver) {
        this.view = view;
        this.check = check;
        this.connectMillis = connectMillis;
        this.receiver = receiver;
    }

    /** Checks the path to an endpoint; does not block. */
    void check(String endpoint) {
        EndpointRegistration registration = view.registration(endpoint);
        InetSocketAddress address = registration == null ? null : HostDirectory.address(registration.address());
        if (address != null) {
            check.connect(address, connectMillis).thenAccept(connected -> receiver.onChecked(endpoint, connected));
        }
    }
}
