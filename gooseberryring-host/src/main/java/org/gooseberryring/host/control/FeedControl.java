package org.gooseberryring.host.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;

import com.google.protobuf.ByteString;
import org.gooseberryring.coordination.config.ChangeCommitter;
import org.gooseberryring.coordination.config.CommitResult;
import org.gooseberryring.coordination.config.ConfigurationFeed;
import org.gooseberryring.coordination.config.ConfigurationUpdate;
import org.gooseberryring.coordination.config.DocumentCodec;
import org.gooseberryring.coordination.config.FeedEffect;
import org.gooseberryring.coordination.config.FeedMember;
import org.gooseberryring.coordination.config.FeedSettings;
import org.gooseberryring.coordination.config.HeadDocument;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.host.config.CurrentConfiguration;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.host.peer.PeerMessageSender;
import org.gooseberryring.host.ring.EventRing;
import org.gooseberryring.host.settings.HostSettings;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.protocol.peer.ConfigurationReply;
import org.gooseberryring.protocol.peer.ConfigurationRequest;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.protocol.peer.Probe;
import org.gooseberryring.state.GooseberryringException;
import org.gooseberryring.transport.store.ObjectStore;
import org.jboss.logging.Logger;

/** Runs the configuration feed on the control thread, and the watch in the store on a separate thread. */
public final class FeedControl implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(FeedControl.class);
    private static final long MESSAGE_LIFETIME_MILLIS = 2000;
    private static final int WATCH_RING_SIZE = 4;
    // Hosts that missed the announcement of a revision learn of it within seconds.
    private static final long GOSSIP_INTERVAL_MILLIS = 1000;
    private static final int GOSSIP_PEERS = 2;

    private final ObjectStore store;
    private final ControlLoop control;
    private final PeerMessageSender peers;
    private final CurrentConfiguration published;
    private final DocumentCodec codec;
    private final SplittableRandom random;
    private final org.gooseberryring.coordination.config.ConfigurationTracker tracker =
            new org.gooseberryring.coordination.config.ConfigurationTracker();
    private final ConfigurationFeed feed;
    private final EventRing<FeedEffect.Watch> watches;
    private List<String> others = List.of();
    private long nextGossipAt;

    /** Creates the feed of a host without known peers; {@code now} is monotonic time in milliseconds. */
    public FeedControl(
            HostSettings settings,
            ObjectStore store,
            ControlLoop control,
            PeerMessageSender peers,
            CurrentConfiguration published,
            DocumentCodec codec,
            long seed,
            long now) {
        this.store = store;
        this.control = control;
        this.peers = peers;
        this.published = published;
        this.codec = codec;
        this.random = new SplittableRandom(seed);
        this.feed = new ConfigurationFeed(
                settings.hostId(),
                settings.failureDomain(),
                settings(settings.timeouts()),
                tracker,
                random.split(),
                now);
        this.watches = new EventRing<>("configuration", WATCH_RING_SIZE, this::watch);
    }

    public FeedControl start() {
        watches.start();
        return this;
    }

    /** Sets the other live hosts. */
    public void onMembers(Collection<FeedMember> members, long now) {
        others = members.stream().map(FeedMember::host).toList();
        carryOut(feed.onMembersChanged(members, now));
    }

    /** Runs the work that is due at {@code now}. */
    public void tick(long now) {
        carryOut(feed.onTick(now));
        if (now >= nextGossipAt && !others.isEmpty()) {
            nextGossipAt = now + GOSSIP_INTERVAL_MILLIS;
            for (int i = 0; i < GOSSIP_PEERS; i++) {
                announce(others.get(random.nextInt(others.size())));
            }
        }
        if (tracker.hasConfirmation()) {
            published.setConfirmedAt(now - tracker.confirmationAgeMillis(now));
        }
    }

    /** Handles the document that a change committed by this host produced. */
    public void onCommitted(CommitResult.Committed result, long now) {
        carryOut(feed.onHead(result.version(), result.head(), now));
    }

    /** Handles the announcement of a revision by another host. */
    public void onPeerRevision(String sender, long revision, long now) {
        carryOut(feed.onPeerRevision(sender, revision, now));
    }

    /** Handles a configuration request of another host. */
    public void onPeerRequest(String sender, ConfigurationRequest request, long now) {
        carryOut(feed.onPeerRequest(sender, request.getKnownRevision(), now));
    }

    /** Handles the configuration reply of another host. */
    public void onPeerReply(String sender, ConfigurationReply reply, long now) {
        try {
            ConfigurationUpdate update = Json.read(reply.getDocument().toByteArray(), ConfigurationUpdate.class);
            carryOut(feed.onPeerReply(sender, update, now));
        } catch (GooseberryringException e) {
            LogLine.event("configuration-unreadable").with("source", sender).warn(LOG);
        }
    }

    @Override
    public void close() {
        // The thread may be blocked in a watch for many seconds; it is a daemon thread and ends when the call returns.
        watches.halt();
    }

    private void carryOut(List<FeedEffect> effects) {
        for (FeedEffect effect : new ArrayList<>(effects)) {
            if (effect instanceof FeedEffect.Watch watch) {
                watches.offer(watch);
            } else if (effect instanceof FeedEffect.RequestConfiguration ask) {
                ConfigurationRequest request = ConfigurationRequest.newBuilder()
                        .setKnownRevision(ask.knownRevision())
                        .build();
                send(ask.host(), PeerMessage.newBuilder().setConfigurationRequest(request));
            } else if (effect instanceof FeedEffect.Reply reply) {
                ConfigurationReply message = ConfigurationReply.newBuilder()
                        .setRevision(reply.update().revision())
                        .setDocument(ByteString.copyFrom(Json.write(reply.update())))
                        .build();
                send(reply.host(), PeerMessage.newBuilder().setConfigurationReply(message));
            } else if (effect instanceof FeedEffect.Announce announce) {
                announce.hosts().forEach(this::announce);
            } else if (effect instanceof FeedEffect.Adopted adopted) {
                published.adopt(adopted.configuration());
            }
        }
    }

    private void announce(String host) {
        Probe probe =
                Probe.newBuilder().setConfigurationRevision(tracker.revision()).build();
        send(host, PeerMessage.newBuilder().setProbe(probe));
    }

    private void send(String host, PeerMessage.Builder message) {
        peers.send(host, message, MESSAGE_LIFETIME_MILLIS);
    }

    /** Makes a blocking call on the configuration thread. */
    private void watch(FeedEffect.Watch watch) {
        // Without a change a watch ends only after its full wait, so a read gives the first confirmation.
        StoreReply reply = published.confirmedAt() == 0
                ? store.read(ChangeCommitter.HEAD_KEY)
                : store.watch(ChangeCommitter.HEAD_KEY, watch.afterVersion(), watch.waitMillis());
        // A watch that ends without a change counts as a read of the version that is already known.
        StoreOutcome outcome = reply.outcome() == StoreOutcome.CONFLICT ? StoreOutcome.OK : reply.outcome();
        HeadDocument head = reply.outcome() == StoreOutcome.OK ? decode(reply.value()) : null;
        if (reply.outcome() == StoreOutcome.OK && head == null) {
            outcome = StoreOutcome.UNAVAILABLE;
        }
        StoreOutcome result = outcome;
        control.put(now -> carryOut(feed.onStoreReply(watch.callId(), result, reply.version(), head, now)));
    }

    private HeadDocument decode(byte[] bytes) {
        try {
            return codec.decodeHead(bytes);
        } catch (GooseberryringException e) {
            LogLine.event("configuration-unreadable").with("source", "store").warn(LOG);
            return null;
        }
    }

    private static FeedSettings settings(HostSettings.Timeouts timeouts) {
        FeedSettings defaults = FeedSettings.defaults();
        return new FeedSettings(
                timeouts.watchMillis(),
                defaults.pollAfterMillis(),
                defaults.pollsPerSecond(),
                Math.min(defaults.minRetryMillis(), timeouts.pollMillis()),
                defaults.maxRetryMillis(),
                defaults.peerTimeoutMillis(),
                defaults.fanOut(),
                defaults.relays());
    }
}
