package org.gooseberryring.transport.peer;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.gooseberryring.protocol.peer.PeerMessage;

/**
 * Authenticated links to the other hosts.
 *
 * <p>Messages may be lost, and may be reordered when a connection is replaced; each is received at most once.
 */
public final class PeerLinks implements AutoCloseable {
    // Peer traffic is a few messages per second for each peer, so one thread serves all connections.
    private static final int THREADS = 1;
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2000;

    private final String hostId;
    private final long incarnation;
    private final byte[] secret;
    private final PeerLimits limits;
    private final PeerListener listener;
    private final PeerCounters counters;
    private final ReplayWindow replayWindow = new ReplayWindow();
    private final AtomicLong sequence = new AtomicLong();
    private final Map<String, PeerSender> senders = new ConcurrentHashMap<>();
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(THREADS, new DefaultThreadFactory("peer", true), NioIoHandler.newFactory());
    private final ChannelGroup incoming = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Bootstrap bootstrap;

    /**
     * Creates links that do not listen yet.
     *
     * @param hostId identifier of this host
     * @param incarnation incarnation number of this process, higher than that of any earlier process of the host
     * @param secret secret that all hosts share
     * @param listener receives the messages of other hosts
     * @param registry registry of the counters
     */
    public PeerLinks(
            String hostId,
            long incarnation,
            byte[] secret,
            PeerLimits limits,
            PeerListener listener,
            MetricRegistry registry) {
        this.hostId = hostId;
        this.incarnation = incarnation;
        this.secret = secret.clone();
        this.limits = limits;
        this.listener = listener;
        this.counters = PeerCounters.of(registry);
        this.bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectMillis())
                .handler(initializer(
                        channel -> channel.pipeline().addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))));
    }

    /** Starts to listen and returns the address with the port in use. */
    public InetSocketAddress listen(InetSocketAddress address) {
        Channel channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(initializer(this::accept))
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return (InetSocketAddress) channel.localAddress();
    }

    /** Adds a peer, or changes the address of a known one. */
    public void setPeerAddress(String peerId, InetSocketAddress address) {
        PeerSender sender = senders.computeIfAbsent(
                peerId,
                id -> new PeerSender(bootstrap, group.next(), new FrameSigner(secret), limits, counters, address));
        sender.setAddress(address);
    }

    /** Removes a peer and discards the messages queued for it. */
    public void removePeer(String peerId) {
        PeerSender sender = senders.remove(peerId);
        if (sender != null) {
            sender.close();
        }
    }

    /**
     * Sends a message.
     *
     * @param receiver identifier of the receiving peer
     * @param body message without sender, incarnation, sequence and receiver
     * @param lifetimeMillis milliseconds after which the message is dropped if it has not been sent
     * @return false if the peer is unknown, its queue is full, or the links are closed
     */
    public boolean send(String receiver, PeerMessage.Builder body, long lifetimeMillis) {
        PeerSender sender = senders.get(receiver);
        if (sender == null) {
            counters.unknownPeer().inc();
            return false;
        }
        PeerMessage message = body.setSender(hostId)
                .setSenderIncarnation(incarnation)
                .setSequence(sequence.incrementAndGet())
                .setReceiver(receiver)
                .build();
        return sender.send(message, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lifetimeMillis));
    }

    @Override
    public void close() {
        senders.values().forEach(PeerSender::close);
        incoming.close();
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void accept(SocketChannel channel) {
        if (incoming.size() >= limits.maxIncoming()) {
            channel.close();
            return;
        }
        incoming.add(channel);
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(
                        limits.maxFrameBytes(), 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                .addLast(new PeerReceiver(hostId, new FrameSigner(secret), replayWindow, counters, listener));
    }

    private static ChannelInitializer<SocketChannel> initializer(Consumer<SocketChannel> setup) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                setup.accept(channel);
            }
        };
    }
}
