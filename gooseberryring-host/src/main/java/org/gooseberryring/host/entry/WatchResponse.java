package org.gooseberryring.host.entry;

import org.gooseberryring.coordination.feed.FeedChanges;

/**
 * Answer to a watch, together with the form in which it can be passed on to another host.
 *
 * @param changes decoded changes
 * @param encoded the same as {@link CollectionSource#decode} reads them; the array is not changed
 * @param <T> type of the content
 */
public record WatchResponse<T>(FeedChanges<T> changes, byte[] encoded) {}
