package org.gooseberryring.coordination.config;

import java.util.List;

import org.gooseberryring.state.FleetConfiguration;

/** Action that the caller of a {@link ConfigurationFeed} must carry out. */
public sealed interface FeedEffect {
    /**
     * Watches {@code config/head} and passes the reply to {@link ConfigurationFeed#onStoreReply}.
     *
     * @param afterVersion known version, 0 if there is none
     * @param waitMillis time that the store may wait for a newer version, 0 for a plain conditional read
     * @param callId number to pass back with the reply
     */
    record Watch(long afterVersion, long waitMillis, long callId) implements FeedEffect {}

    /** Sends a configuration request to a peer. */
    record RequestConfiguration(String host, long knownRevision) implements FeedEffect {}

    /**
     * Sends a configuration reply to a peer.
     *
     * @param host peer that sent the request
     * @param update changes that the peer does not have
     */
    record Reply(String host, ConfigurationUpdate update) implements FeedEffect {}

    /** Sends a probe, which contains the revision, to the given peers immediately. */
    record Announce(List<String> hosts) implements FeedEffect {}

    /** Puts a newly adopted configuration into force on this host. */
    record Adopted(FleetConfiguration configuration) implements FeedEffect {}
}
