package org.gooseberryring.coordination.feed;

import org.gooseberryring.coordination.store.StorePosition;

/**
 * Position up to which a host has read a collection, as reported to the hosts that follow it.
 *
 * @param changed position of the last change; the host knows of no later one
 * @param fresh whether the last response of the store is recent enough to follow this host
 * @param inContact whether the store responds to the host; false only after an outage was detected
 * @param confirmedAt time up to which the host knows all changes, in monotonic milliseconds of the host that uses the
 *     position
 */
public record FeedPosition(StorePosition changed, boolean fresh, boolean inContact, long confirmedAt) {}
