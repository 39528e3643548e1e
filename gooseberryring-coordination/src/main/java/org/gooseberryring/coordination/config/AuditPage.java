package org.gooseberryring.coordination.config;

import java.util.List;

import org.gooseberryring.state.ChangeRecord;

/**
 * Content of a store object {@code audit/N}: audit records that were moved out of the head document.
 *
 * @param records {@link #SIZE} records with consecutive revisions, oldest first
 */
public record AuditPage(List<ChangeRecord> records) {
    /** Number of records in a page. A record has at most about 1.3 KB, so a page stays far below the limit of 1 MB. */
    public static final int SIZE = 32;

    public AuditPage {
        records = List.copyOf(records);
    }

    /**
     * Returns the key of the page that contains the record of a revision.
     *
     * <p>Each page covers a fixed range of revisions, so all writers of a page write the same content.
     */
    public static String key(long revision) {
        return String.format("audit/%012d", (revision - 1) / SIZE);
    }
}
