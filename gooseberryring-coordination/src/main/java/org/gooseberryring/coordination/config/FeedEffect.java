package org.gooseberryring.coordination.config;

import java.util.List;

import org.gooseberryring.state.FleetConfiguration;

/** What the owner of a {@link ConfigurationFeed} has to do. */
public sealed interface FeedEffect {
    /**
     * Watches {@code config/head} and hands the reply to {@link ConfigurationFeed#onStoreReply}.
     *
     * @param afterVersion version that is known, 0 for none
     * @param waitMillis time that the store may wait for a newer version, 0 for a plain conditional read
     * @param callId number to give back with the reply
     */
    record Watch(long afterVersion, long waitMillis, long callId) implements FeedEffect {}

    /** Sends a configuration request to a peer. */
    record RequestConfiguration(String host, long knownRevision) implements FeedEffect {}

    /**
     * Sends a configuration reply to a peer.
     *
     * @param host peer that asked
     * @param update what the peer lacks
     */
    record Reply(String host, ConfigurationUpdate update) implements FeedEffect {}

    /** Sends a probe, which carries the revision, to peers without waiting for the next turn. */
    record Announce(List<String> hosts) implements FeedEffect {}

    /** Puts a configuration into force on this host. */
    record Adopted(FleetConfiguration configuration) implements FeedEffect {}
}
