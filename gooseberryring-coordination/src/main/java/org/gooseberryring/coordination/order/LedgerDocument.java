package org.gooseberryring.coordination.order;

import java.util.List;

/**
 * Content of the store object {@code ledger/{endpoint}}.
 *
 * @param stamp identifier of the write
 * @param endpoint endpoint identifier
 * @param loaded artifacts that the last applied report listed, with their memory
 * @param orders orders that may still take effect, oldest first
 */
public record LedgerDocument(String stamp, String endpoint, List<LoadedArtifact> loaded, List<Order> orders)
        implements StampedDocument {
    public LedgerDocument {
        loaded = loaded == null ? List.of() : List.copyOf(loaded);
        orders = orders == null ? List.of() : List.copyOf(orders);
    }
}
