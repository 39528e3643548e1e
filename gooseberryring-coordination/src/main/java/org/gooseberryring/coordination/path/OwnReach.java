package org.gooseberryring.coordination.path;

import java.util.Set;

/**
 * Endpoints that this host does not reach itself.
 *
 * @param isolated whether it reaches none of the endpoints that it has tried
 * @param unreachable endpoints that it does not reach; some of them if there are many
 */
public record OwnReach(boolean isolated, Set<String> unreachable) {
    /** All endpoints can be reached. */
    public static final OwnReach ALL = new OwnReach(false, Set.of());

    public OwnReach {
        unreachable = Set.copyOf(unreachable);
    }
}
