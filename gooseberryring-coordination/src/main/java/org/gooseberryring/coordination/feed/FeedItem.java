package org.gooseberryring.coordination.feed;

/**
 * Object of a collection.
 *
 * @param name name, unique in the collection
 * @param revision revision of the store at its last change
 * @param value decoded content, null if it cannot be read
 * @param <T> type of the content
 */
public record FeedItem<T>(String name, long revision, T value) {}
