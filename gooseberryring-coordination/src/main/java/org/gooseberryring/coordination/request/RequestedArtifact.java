package org.gooseberryring.coordination.request;

/**
 * Model or adapter that requests wait for.
 *
 * @param target model or adapter
 * @param softwareVersion software version that the endpoint must have which loads it, null for any
 */
public record RequestedArtifact(RequestTarget.RoutedTarget target, String softwareVersion) {
    /** Returns an artifact that any endpoint may load. */
    public static RequestedArtifact ofAnyVersion(RequestTarget.RoutedTarget target) {
        return new RequestedArtifact(target, null);
    }
}
