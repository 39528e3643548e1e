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

/** Runs the configuration feed on the control thread, with a thread of its own for the watch in the store. */
public final class FeedControl implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(FeedControl.class);
    private static final long MESSAGE_MILLIS = 2000;
    private static final int WATCHES = 4;
    // Hosts whose announcement of a revision was lost hear of it within seconds.
    private static final long GOSSIP_MILLIS = 1000;
    private static final int GOSSIP_PEERS = 2;

    private final ObjectStore store;
    private final ControlLoop control;
    private final PeerMessageSender peers;
    private final CurrentConfiguration published;
    private final DocumentCodec codec;
    private final SplittableRandom random;
    private final org.gooseberryring.coordination.config.ConfigurationTracker holder =
            new org.gooseberryring.coordination.config.ConfigurationTracker();
    private final ConfigurationFeed feed;
    private final EventRing<FeedEffect.Watch> watches;
    private List<String> others = List.of();
    private long gossipAt;

    /** Creates the feed of a host that knows no peers yet; {@code now} is monotonic time in milliseconds. */
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
                holder,
                random.split(),
                now);
        this.watches = new EventRing<>("configuration", WATCHES, this::watch);
    }

    public FeedControl start() {
        watches.start();
        return this;
    }

    /** Takes over the other live hosts. */
    public void members(Collection<FeedMember> members, long now) {
        others = members.stream().map(FeedMember::host).toList();
        carryOut(feed.onMembers(members, now));
    }

    /** Lets time pass. */
    public void tick(long now) {
        carryOut(feed.onTick(now));
        if (now >= gossipAt && !others.isEmpty()) {
            gossipAt = now + GOSSIP_MILLIS;
            for (int i = 0; i < GOSSIP_PEERS; i++) {
                announce(others.get(random.nextInt(others.size())));
            }
        }
        if (holder.everConfirmed()) {
            published.setConfirmedAt(now - holder.confirmationAge(now));
        }
    }

    /** Takes the document that a change of this host produced. */
    public void committed(CommitResult.Committed result, long now) {
        carryOut(feed.onHead(result.version(), result.head(), now));
    }

    /** Takes the revision that another host announced. */
    public void announced(String sender, long revision, long now) {
        carryOut(feed.onPeerRevision(sender, revision, now));
    }

    /** Takes a request of another host. */
    public void requested(String sender, ConfigurationRequest request, long now) {
        carryOut(feed.onPeerRequest(sender, request.getKnownRevision(), now));
    }

    /** Takes the answer of another host. */
    public void replied(String sender, ConfigurationReply reply, long now) {
        try {
            ConfigurationUpdate update = Json.read(reply.getDocument().toByteArray(), ConfigurationUpdate.class);
            carryOut(feed.onPeerReply(sender, update, now));
        } catch (GooseberryringException e) {
            LogLine.event("configuration-unreadable").with("source", sender).warn(LOG);
        }
    }

    @Override
    public void close() {
        // The thread may wait in a watch for many seconds; it is a daemon and ends with the call.
        watches.halt();
    }

    private void carryOut(List<FeedEffect> effects) {
        for (FeedEffect effect : new ArrayList<>(effects)) {
            if (effect instanceof FeedEffect.Watch watch) {
                watches.offer(watch);
            } else if (effect instanceof FeedEffect.AskPeer ask) {
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
                Probe.newBuilder().setConfigurationRevision(holder.revision()).build();
        send(host, PeerMessage.newBuilder().setProbe(probe));
    }

    private void send(String host, PeerMessage.Builder message) {
        peers.send(host, message, MESSAGE_MILLIS);
    }

    /** Makes a blocking call on the configuration thread. */
    private void watch(FeedEffect.Watch watch) {
        // A watch ends only after its wait if nothing changes, so the first confirmation comes from a read.
        StoreReply reply = published.confirmedAt() == 0
                ? store.read(ChangeCommitter.HEAD_KEY)
                : store.watch(ChangeCommitter.HEAD_KEY, watch.afterVersion(), watch.waitMillis());
        // A watch that ends without news is answered like a read of the version that is known already.
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
