package org.gooseberryring.protocol;

import java.util.List;

import org.gooseberryring.state.Change;

/**
 * Body of {@code POST /admin/v1/changes}.
 *
 * @param actor person who requests the changes
 * @param cause reason for the changes
 * @param changes changes, applied in order and atomically
 */
public record ChangeRequest(String actor, String cause, List<Change> changes) {
    public ChangeRequest {
        changes = changes == null ? List.of() : List.copyOf(changes);
    }
}
