package org.gooseberryring.coordination.order;

/**
 * Content of the store object {@code controllers/{domain}}.
 *
 * @param stamp identifier of the write
 * @param holder host that is the controller
 * @param term fencing number of the controller; each new holder increases it
 * @param renewals number of renewals in this term
 * @param epoch store epoch in which the document was written
 */
public record LeaseDocument(String stamp, String holder, long term, long renewals, long epoch)
        implements StampedDocument {}
