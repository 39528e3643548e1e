package org.gooseberryring.coordination.request;

import org.gooseberryring.state.Artifact;

/** What a request is for. */
public sealed interface Target {
    /**
     * Model or adapter in a version.
     *
     * @param artifact model, or adapter on top of it
     */
    record ModelTarget(Artifact artifact) implements Target {}

    /**
     * Plain service.
     *
     * @param service identifier of the service
     */
    record ServiceTarget(String service) implements Target {}
}
