package org.gooseberryring.coordination.direct;

import java.util.ArrayList;
import java.util.List;

import org.gooseberryring.coordination.request.RequestTarget;

/**
 * Endpoints in service that have loaded the target of a request.
 *
 * @param endpoints those of the software version that the request needs
 * @param lacksVersion whether only endpoints of other versions are in service
 * @param isOnlyInOtherVersions whether only endpoints of other versions have loaded the target
 */
record LoadedEndpoints(List<DirectEndpoint> endpoints, boolean lacksVersion, boolean isOnlyInOtherVersions) {
    /**
     * Selects endpoints.
     *
     * @param softwareVersion version that the request needs, null for any
     */
    static LoadedEndpoints of(
            List<DirectEndpoint> inService, RequestTarget.RoutedTarget target, String softwareVersion) {
        List<DirectEndpoint> loaded = new ArrayList<>();
        boolean isLoadedByOthers = false;
        boolean isVersionInService = false;
        for (DirectEndpoint endpoint : inService) {
            boolean hasVersion = endpoint.hasSoftwareVersion(softwareVersion);
            boolean hasLoaded = endpoint.hasLoaded(target);
            isVersionInService |= hasVersion;
            isLoadedByOthers |= hasLoaded && !hasVersion;
            if (hasLoaded && hasVersion) {
                loaded.add(endpoint);
            }
        }
        return new LoadedEndpoints(
                loaded, !inService.isEmpty() && !isVersionInService, loaded.isEmpty() && isLoadedByOthers);
    }
}
