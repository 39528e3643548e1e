package org.gooseberryring.coordination.config;

import java.util.List;

import org.gooseberryring.state.ChangeRecord;

/**
 * Content of a store object {@code audit/N}: records that no longer fit into the head document.
 *
 * @param records {@link #SIZE} records with consecutive revisions, oldest first
 */
public record AuditPage(List<ChangeRecord> records) {
    /** Records of a full page. Each has at most about 1.3 KB, so that a page stays far below the 1 MB of an object. */
    public static final int SIZE = 32;

    public AuditPage {
        records = List.copyOf(records);
    }

    /**
     * Returns the key of the page that holds the record of a revision.
     *
     * <p>Pages cover fixed blocks of revisions, so that every writer of a page writes the same content.
     */
    public static String key(long revision) {
        return String.format("audit/%012d", (revision - 1) / SIZE);
    }
}
