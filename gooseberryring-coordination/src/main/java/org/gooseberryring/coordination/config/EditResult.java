package org.gooseberryring.coordination.config;

import java.util.List;

import org.gooseberryring.state.FleetConfiguration;

/** Result of applying changes to a configuration: all of them, or none. */
public sealed interface EditResult {
    /**
     * The changes are acceptable.
     *
     * @param configuration configuration after the changes, with the next revision
     */
    record Accepted(FleetConfiguration configuration) implements EditResult {}

    /**
     * The changes are refused as a whole.
     *
     * @param faults every fault that was found, never empty
     */
    record Refused(List<ChangeError> faults) implements EditResult {
        public Refused {
            faults = List.copyOf(faults);
        }
    }
}
