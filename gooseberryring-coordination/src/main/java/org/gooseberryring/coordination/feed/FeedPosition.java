package org.gooseberryring.coordination.feed;

import org.gooseberryring.coordination.store.StorePosition;

/**
 * How far a host has followed a collection, as it tells the hosts that rely on it.
 *
 * @param changed position of the last change that it knows, after which nothing has changed up to what it knows
 * @param fresh whether the store has answered lately enough to rely on this
 * @param inContact whether the store answers as far as the host knows; false only after an outage was noticed
 */
public record FeedPosition(StorePosition changed, boolean fresh, boolean inContact) {}
