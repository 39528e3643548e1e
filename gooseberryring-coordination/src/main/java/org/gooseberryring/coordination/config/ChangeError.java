package org.gooseberryring.coordination.config;

/**
 * Reason why a change is refused.
 *
 * @param path place of the fault, such as {@code changes[2].endpoint.address}
 * @param reason what is wrong there
 */
public record ChangeError(String path, String reason) {
    @Override
    public String toString() {
        return path + ": " + reason;
    }
}
