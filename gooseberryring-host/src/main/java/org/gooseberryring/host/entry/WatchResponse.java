package org.gooseberryring.host.entry;

import org.gooseberryring.coordination.feed.FeedChanges;

/**
 * Response to a watch, together with the encoded form that can be forwarded to another host.
 *
 * @param changes decoded changes
 * @param encoded the same changes in the form that {@link CollectionSource#decode} reads; must not be modified
 * @param <T> type of the content
 */
public record WatchResponse<T>(FeedChanges<T> changes, byte[] encoded) {}
