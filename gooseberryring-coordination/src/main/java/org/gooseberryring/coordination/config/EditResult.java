package org.gooseberryring.coordination.config;

import java.util.List;

import org.gooseberryring.state.FleetConfiguration;

/** Result of applying a list of changes to a configuration atomically. */
public sealed interface EditResult {
    /**
     * All changes are valid.
     *
     * @param configuration configuration after the changes, with the next revision
     */
    record Accepted(FleetConfiguration configuration) implements EditResult {}

    /**
     * At least one change is invalid, and none is applied.
     *
     * @param faults all errors that were found, never empty
     */
    record Refused(List<ChangeError> faults) implements EditResult {
        public Refused {
            faults = List.copyOf(faults);
        }
    }
}
