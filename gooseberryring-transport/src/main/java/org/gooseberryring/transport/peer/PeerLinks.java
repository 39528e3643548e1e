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
 * <p>Messages may be lost, and may overtake each other when a connection is replaced; each is received at most once.
 */
public final class PeerLinks implements AutoCloseable {
    // Peer traffic is a few messages a second for each peer; one thread reads and writes them all.
    private static final int THREADS = 1;
    private static final int LENGTH_BYTES = 4;
    private static final long STOP_MILLIS = 2000;

    private final String hostId;
    private final long incarnation;
    private final byte[] secret;
    private final PeerLimits limits;
    private final PeerListener listener;
    private final PeerCounters counters;
    private final ReplayWindow replays = new ReplayWindow();
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
     * @param incarnation number of this process, higher than that of any earlier process of the host
     * @param secret secret that all hosts share
     * @param listener takes the messages of other hosts
     * @param registry takes the counters
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
                .handler(initializer(channel -> channel.pipeline().addLast(new LengthFieldPrepender(LENGTH_BYTES))));
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

    /** Names the address of a peer, which may have changed. */
    public void setPeerAddress(String peerId, InetSocketAddress address) {
        PeerSender sender = senders.computeIfAbsent(
                peerId,
                id -> new PeerSender(bootstrap, group.next(), new FrameSigner(secret), limits, counters, address));
        sender.moveTo(address);
    }

    /** Forgets a peer and what waits for it. */
    public void removePeer(String peerId) {
        PeerSender sender = senders.remove(peerId);
        if (sender != null) {
            sender.close();
        }
    }

    /**
     * Sends a message.
     *
     * @param receiver peer that it is meant for
     * @param body message without sender, sequence and receiver
     * @param lifetimeMillis milliseconds after which the message is dropped if it was not sent
     * @return false if the peer is unknown, too much waits for it, or the links are closed
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
        group.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(STOP_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void accept(SocketChannel channel) {
        if (incoming.size() >= limits.maxIncoming()) {
            channel.close();
            return;
        }
        incoming.add(channel);
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(limits.maxFrameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new PeerReceiver(hostId, new FrameSigner(secret), replays, counters, listener));
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
