package org.gooseberryring.coordination.route;

import org.gooseberryring.state.Endpoint;

/** Provides the concurrency credits of endpoints. */
@FunctionalInterface
public interface CreditSource {
    /** Returns the credits of an endpoint; called again after each change of the configuration. */
    EndpointCredits of(Endpoint endpoint);
}
