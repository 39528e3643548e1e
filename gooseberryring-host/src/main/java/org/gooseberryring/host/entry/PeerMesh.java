package org.gooseberryring.host.entry;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.exchange.ExchangeMember;
import org.gooseberryring.coordination.feed.FeedListener;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.host.HostMetrics;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.control.StoreCallExecutor;
import org.gooseberryring.host.fleet.HostDirectory;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.transport.peer.PeerLimits;
import org.gooseberryring.transport.peer.PeerLinks;
import org.jboss.logging.Logger;

/**
 * Links of this host to the others, which it finds in the platform's store.
 *
 * <p>The first host creates the secret that all share. Each host registers its address. All methods are called on the
 * control thread unless stated otherwise.
 */
final class PeerMesh implements FeedListener<HostRegistration>, AutoCloseable {
    /** Collection of the hosts' addresses. */
    static final String HOSTS = "hosts";

    private static final Logger LOG = Logger.getLogger(PeerMesh.class);
    private static final String SECRET_KEY = "secrets/peers";
    private static final int SECRET_BYTES = 32;
    private static final long RETRY_MILLIS = 500;
    private static final long MESSAGE_MILLIS = 1_000;
    private static final int MAX_QUEUED_FRAMES = 256;

    /** Time over which the hosts spread their calls after the store came back from an older copy. */
    private static final long RESTORE_SPREAD_MILLIS = 1_000;

    private final EntrySettings settings;
    private final long incarnation;
    private final StoreCallExecutor lanes;
    private final ControlLoop control;
    private final HostMetrics metrics;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final PeerExchange members;
    private final StoreEpochs epochs;
    private final RandomGenerator random;
    private volatile PeerLinks links;
    private PeerSecret secret;
    private boolean secretStored;
    private boolean registered;
    private boolean calling;
    private long retryAt;

    /** Creates a mesh; {@code members} hears of the other hosts and takes their messages. */
    PeerMesh(
            EntrySettings settings,
            long incarnation,
            StoreCallExecutor lanes,
            ControlLoop control,
            HostMetrics metrics,
            PeerExchange members,
            StoreEpochs epochs,
            RandomGenerator random) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.lanes = lanes;
        this.control = control;
        this.metrics = metrics;
        this.members = members;
        this.epochs = epochs;
        this.random = random;
        epochs.onChange((epoch, now) -> restored(now));
    }

    /** Lets time pass. */
    void tick(long now) {
        if (calling || now < retryAt) {
            return;
        }
        if (links == null) {
            read(SECRET_KEY, this::secretRead);
        } else if (!secretStored) {
            read(SECRET_KEY, this::secretReadAgain);
        } else if (!registered) {
            read(ownKey(), this::entryRead);
        }
    }

    /** Opens the connection to a host anew. */
    void renew(String host) {
        InetSocketAddress address = addresses.get(host);
        if (links != null && address != null) {
            links.removePeer(host);
            links.setPeerAddress(host, address);
            LogLine.event("peer-link-renewed").with("host", host).info(LOG);
        }
    }

    /** Sends a message to a host; may be called on any thread. */
    void send(String host, PeerMessage.Builder message) {
        PeerLinks open = links;
        if (open != null) {
            open.send(host, message, MESSAGE_MILLIS);
        }
    }

    @Override
    public void changed(String name, HostRegistration entry, long now) {
        InetSocketAddress address = entry == null ? null : HostDirectory.address(entry.peerAddress());
        if (name.equals(settings.hostId()) || address == null) {
            return;
        }
        addresses.put(name, address);
        members.member(new ExchangeMember(name, entry.failureDomain(), entry.processors()));
        if (links != null) {
            links.setPeerAddress(name, address);
        }
    }

    @Override
    public void removed(String name, long now) {
        addresses.remove(name);
        members.onMemberRemoved(name);
        if (links != null) {
            links.removePeer(name);
        }
    }

    @Override
    public void close() {
        if (links != null) {
            links.close();
        }
    }

    /** Looks whether the store still holds what this host has written or read there. */
    private void restored(long now) {
        if (links != null) {
            secretStored = false;
            registered = false;
            retryAt = now + random.nextLong(RESTORE_SPREAD_MILLIS);
        }
    }

    private void secretRead(StoreReply reply, long now) {
        if (reply.outcome() == StoreOutcome.OK) {
            open(Json.read(reply.value(), PeerSecret.class));
        } else if (reply.outcome() == StoreOutcome.ABSENT) {
            byte[] bytes = new byte[SECRET_BYTES];
            new SecureRandom().nextBytes(bytes);
            create(new PeerSecret(Base64.getEncoder().encodeToString(bytes)));
        } else {
            retryAt = now + RETRY_MILLIS;
        }
    }

    /** Writes the secret again if an older copy of the store lacks it, and takes over that of a host that was first. */
    private void secretReadAgain(StoreReply reply, long now) {
        if (reply.outcome() == StoreOutcome.ABSENT) {
            create(secret);
        } else if (reply.outcome() != StoreOutcome.OK) {
            retryAt = now + RETRY_MILLIS;
        } else if (Json.read(reply.value(), PeerSecret.class).equals(secret)) {
            secretStored = true;
        } else {
            LogLine.event("peer-secret-replaced").warn(LOG);
            links.close();
            open(Json.read(reply.value(), PeerSecret.class));
        }
    }

    /** Creates the secret, which counts once it is read back, since another host may have created it. */
    private void create(PeerSecret created) {
        write(SECRET_KEY, StoreRequest.Put.ABSENT, Json.write(created), (written, at) -> retryAt = at);
    }

    private void open(PeerSecret stored) {
        secret = stored;
        secretStored = true;
        PeerLinks opened = new PeerLinks(
                settings.hostId(),
                incarnation,
                Base64.getDecoder().decode(secret.secret()),
                PeerLimits.defaults(MAX_QUEUED_FRAMES),
                message -> members.received(message.getSender(), message),
                metrics.registry());
        opened.listen(settings.peerAddress());
        addresses.forEach(opened::setPeerAddress);
        links = opened;
    }

    private void entryRead(StoreReply reply, long now) {
        boolean absent = reply.outcome() == StoreOutcome.ABSENT;
        if (!absent && reply.outcome() != StoreOutcome.OK) {
            retryAt = now + RETRY_MILLIS;
            return;
        }
        InetSocketAddress address = settings.peerAddress();
        HostRegistration entry = new HostRegistration(
                settings.hostId(),
                settings.failureDomain(),
                address.getAddress().getHostAddress() + ":" + address.getPort(),
                settings.processors());
        if (!absent && Json.read(reply.value(), HostRegistration.class).equals(entry)) {
            registered = true;
            return;
        }
        long version = absent ? StoreRequest.Put.ABSENT : reply.version();
        write(ownKey(), version, Json.write(entry), (written, at) -> {
            registered = written.outcome() == StoreOutcome.OK;
            retryAt = at + RETRY_MILLIS;
        });
    }

    private String ownKey() {
        return HOSTS + "/" + settings.hostId();
    }

    private void read(String key, ReplyHandler handler) {
        call(new StoreRequest.Read(key), handler);
    }

    private void write(String key, long version, byte[] value, ReplyHandler handler) {
        call(new StoreRequest.Put(key, version, value), handler);
    }

    private void call(StoreRequest request, ReplyHandler handler) {
        calling = true;
        lanes.submit(
                request,
                reply -> control.put(now -> {
                    calling = false;
                    epochs.seen(reply, now);
                    handler.handle(epochs.current(reply), now);
                }));
    }

    /**
     * Secret that all hosts share, as it is stored.
     *
     * @param secret random bytes in Base64
     */
    record PeerSecret(String secret) {}

    @FunctionalInterface
    private interface ReplyHandler {
        void handle(StoreReply reply, long now);
    }
}
