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
import org.gooseberryring.coordination.store.StorePosition;
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
 * Links of this host to the others, which it discovers through the platform's store.
 *
 * <p>The first host creates the secret that all hosts share. Each host registers its address. All methods must be called on
 * the control thread unless stated otherwise.
 */
final class PeerMesh implements FeedListener<HostRegistration>, AutoCloseable {
    /** Collection in which the hosts register. */
    static final String HOSTS = "hosts";

    private static final Logger LOG = Logger.getLogger(PeerMesh.class);
    private static final String SECRET_KEY = "secrets/peers";
    private static final int SECRET_BYTES = 32;
    private static final long RETRY_INTERVAL_MILLIS = 500;
    private static final long MESSAGE_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_QUEUED_FRAMES = 256;

    /** Time over which the hosts spread their calls after the store was restored from an older copy. */
    private static final long RESTORE_SPREAD_MILLIS = 1_000;

    private final EntrySettings settings;
    private final long incarnation;
    private final StoreCallExecutor storeExecutor;
    private final ControlLoop control;
    private final HostMetrics metrics;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final PeerExchange exchange;
    private final StoreEpochs epochs;
    private final RandomGenerator random;
    private volatile PeerLinks links;
    private volatile PeerSecret secret;
    private boolean secretStored;
    private boolean registered;
    private boolean callPending;
    private long retryAt;

    /** Creates a mesh; {@code exchange} is notified of the other hosts and handles their messages. */
    PeerMesh(
            EntrySettings settings,
            long incarnation,
            StoreCallExecutor storeExecutor,
            ControlLoop control,
            HostMetrics metrics,
            PeerExchange exchange,
            StoreEpochs epochs,
            RandomGenerator random) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.storeExecutor = storeExecutor;
        this.control = control;
        this.metrics = metrics;
        this.exchange = exchange;
        this.epochs = epochs;
        this.random = random;
        epochs.onChange((epoch, now) -> onStoreRestored(now));
    }

    /** Makes the next store call that is due. */
    void tick(long now) {
        if (callPending || now < retryAt) {
            return;
        }
        if (links == null) {
            read(SECRET_KEY, this::handleSecret);
        } else if (!secretStored) {
            read(SECRET_KEY, this::verifySecret);
        } else if (!registered) {
            read(registrationKey(), this::handleRegistration);
        }
    }

    /** Returns the secret that all hosts share, null while it is not known; may be called on any thread. */
    byte[] secret() {
        PeerSecret known = secret;
        return known == null ? null : Base64.getDecoder().decode(known.secret());
    }

    /** Closes the connection to a host and opens a new one. */
    void reconnect(String host) {
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
            open.send(host, message, MESSAGE_TIMEOUT_MILLIS);
        }
    }

    @Override
    public void onChanged(String name, HostRegistration registration, long now) {
        InetSocketAddress address = registration == null ? null : HostDirectory.address(registration.peerAddress());
        if (name.equals(settings.hostId()) || address == null) {
            return;
        }
        addresses.put(name, address);
        exchange.addMember(new ExchangeMember(name, registration.failureDomain(), registration.processors()), now);
        if (links != null) {
            links.setPeerAddress(name, address);
        }
    }

    @Override
    public void onListed(StorePosition at, long now) {
        exchange.onMembersListed(now);
    }

    @Override
    public void onRemoved(String name, long now) {
        addresses.remove(name);
        exchange.onMemberRemoved(name);
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

    /** Schedules a check that the restored store still contains the secret and the registration of this host. */
    private void onStoreRestored(long now) {
        if (links != null) {
            secretStored = false;
            registered = false;
            retryAt = now + random.nextLong(RESTORE_SPREAD_MILLIS);
        }
    }

    private void handleSecret(StoreReply reply, long now) {
        if (reply.outcome() == StoreOutcome.OK) {
            open(Json.read(reply.value(), PeerSecret.class));
        } else if (reply.outcome() == StoreOutcome.ABSENT) {
            byte[] bytes = new byte[SECRET_BYTES];
            new SecureRandom().nextBytes(bytes);
            create(new PeerSecret(Base64.getEncoder().encodeToString(bytes)));
        } else {
            retryAt = now + RETRY_INTERVAL_MILLIS;
        }
    }

    /** Writes the secret again if the restored store lacks it; adopts the one that another host has written before. */
    private void verifySecret(StoreReply reply, long now) {
        if (reply.outcome() == StoreOutcome.ABSENT) {
            create(secret);
        } else if (reply.outcome() != StoreOutcome.OK) {
            retryAt = now + RETRY_INTERVAL_MILLIS;
        } else if (Json.read(reply.value(), PeerSecret.class).equals(secret)) {
            secretStored = true;
        } else {
            LogLine.event("peer-secret-replaced").warn(LOG);
            links.close();
            open(Json.read(reply.value(), PeerSecret.class));
        }
    }

    /** Writes the secret. It takes effect only when it is read back, since another host may have written its own first. */
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
                message -> exchange.onMessage(message.getSender(), message),
                metrics.registry());
        opened.listen(settings.peerAddress());
        addresses.forEach(opened::setPeerAddress);
        links = opened;
    }

    private void handleRegistration(StoreReply reply, long now) {
        boolean absent = reply.outcome() == StoreOutcome.ABSENT;
        if (!absent && reply.outcome() != StoreOutcome.OK) {
            retryAt = now + RETRY_INTERVAL_MILLIS;
            return;
        }
        InetSocketAddress address = settings.peerAddress();
        HostRegistration registration = new HostRegistration(
                settings.hostId(),
                settings.failureDomain(),
                address.getAddress().getHostAddress() + ":" + address.getPort(),
                settings.processors());
        if (!absent && Json.read(reply.value(), HostRegistration.class).equals(registration)) {
            registered = true;
            return;
        }
        long version = absent ? StoreRequest.Put.ABSENT : reply.version();
        write(registrationKey(), version, Json.write(registration), (written, at) -> {
            registered = written.outcome() == StoreOutcome.OK;
            retryAt = at + RETRY_INTERVAL_MILLIS;
        });
    }

    private String registrationKey() {
        return HOSTS + "/" + settings.hostId();
    }

    private void read(String key, ReplyHandler handler) {
        call(new StoreRequest.Read(key), handler);
    }

    private void write(String key, long version, byte[] value, ReplyHandler handler) {
        call(new StoreRequest.Put(key, version, value), handler);
    }

    private void call(StoreRequest request, ReplyHandler handler) {
        callPending = true;
        storeExecutor.submit(
                request,
                reply -> control.put(now -> {
                    callPending = false;
                    epochs.observe(reply, now);
                    handler.handle(epochs.rejectOutdated(reply), now);
                }));
    }

    /**
     * Secret that all hosts share, in its stored form.
     *
     * @param secret random bytes in Base64
     */
    record PeerSecret(String secret) {}

    @FunctionalInterface
    private interface ReplyHandler {
        void handle(StoreReply reply, long now);
    }
}
