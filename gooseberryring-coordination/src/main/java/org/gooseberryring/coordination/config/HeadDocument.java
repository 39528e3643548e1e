package org.gooseberryring.coordination.config;

import java.util.List;

import org.gooseberryring.state.ChangeRecord;
import org.gooseberryring.state.FleetConfiguration;

/**
 * Content of the store object {@code config/head}.
 *
 * @param configuration configuration in force
 * @param recentChanges audit records of the newest changes with consecutive revisions, oldest first; older ones are in
 *     audit pages
 */
public record HeadDocument(FleetConfiguration configuration, List<ChangeRecord> recentChanges) {
    public HeadDocument {
        recentChanges = recentChanges == null ? List.of() : List.copyOf(recentChanges);
    }

    /** Returns the document of a configuration without changes. */
    public static HeadDocument empty() {
        return new HeadDocument(FleetConfiguration.empty(), List.of());
    }
}
