package org.gooseberryring.coordination.config;

/**
 * Validation error in a change.
 *
 * @param path location of the error, such as {@code changes[2].endpoint.address}
 * @param reason description of the error
 */
public record ChangeError(String path, String reason) {
    @Override
    public String toString() {
        return path + ": " + reason;
    }
}
