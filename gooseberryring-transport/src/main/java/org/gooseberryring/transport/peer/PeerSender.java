package org.gooseberryring.transport.peer;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.protocol.peer.SignedFrame;

/** Sends messages to one peer over a connection that is opened again when it breaks. */
final class PeerSender {
    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final FrameSigner signer;
    private final PeerLimits limits;
    private final PeerCounters counters;
    private final AtomicInteger waiting = new AtomicInteger();
    private final ArrayDeque<Queued> queue = new ArrayDeque<>();
    private volatile InetSocketAddress address;
    private Channel channel;
    private boolean connecting;
    private boolean closed;
    private long backoffMillis;

    PeerSender(
            Bootstrap bootstrap,
            EventLoop loop,
            FrameSigner signer,
            PeerLimits limits,
            PeerCounters counters,
            InetSocketAddress address) {
        this.bootstrap = bootstrap;
        this.loop = loop;
        this.signer = signer;
        this.limits = limits;
        this.counters = counters;
        this.address = address;
        this.backoffMillis = limits.minBackoffMillis();
    }

    /** Moves to another address, as when the host was restarted there. */
    void moveTo(InetSocketAddress next) {
        if (!next.equals(address)) {
            address = next;
            execute(this::disconnect);
        }
    }

    /** Queues a message; returns false if too many wait or the links are closed. */
    boolean send(PeerMessage message, long expiresAtNanos) {
        if (waiting.incrementAndGet() > limits.maxQueuedFrames()) {
            waiting.decrementAndGet();
            counters.queueFull().inc();
            return false;
        }
        boolean accepted = execute(() -> {
            queue.add(new Queued(message, expiresAtNanos));
            flush();
        });
        if (!accepted) {
            waiting.decrementAndGet();
        }
        return accepted;
    }

    void close() {
        execute(() -> {
            closed = true;
            disconnect();
        });
    }

    /** Runs a task on the peer's I/O thread; returns false once the links are closed, while requests may still end. */
    private boolean execute(Runnable task) {
        try {
            loop.execute(task);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    private void flush() {
        if (channel == null || !channel.isActive()) {
            connect();
            return;
        }
        boolean written = false;
        while (!queue.isEmpty() && channel.isWritable()) {
            Queued next = queue.poll();
            waiting.decrementAndGet();
            if (System.nanoTime() - next.expiresAtNanos >= 0) {
                counters.expired().inc();
                continue;
            }
            byte[] payload = next.message.toByteArray();
            byte[] frame = SignedFrame.newBuilder()
                    .setPayload(ByteString.copyFrom(payload))
                    .setHmac(ByteString.copyFrom(signer.sign(payload)))
                    .build()
                    .toByteArray();
            channel.write(Unpooled.wrappedBuffer(frame));
            counters.sent().inc();
            written = true;
        }
        if (written) {
            channel.flush();
        }
    }

    private void connect() {
        if (connecting || closed) {
            return;
        }
        connecting = true;
        bootstrap.clone(loop).connect(address).addListener(future -> {
            connecting = false;
            if (future.isSuccess()) {
                connected(((io.netty.channel.ChannelFuture) future).channel());
            } else {
                retryLater();
            }
        });
    }

    private void connected(Channel opened) {
        if (closed) {
            opened.close();
            return;
        }
        channel = opened;
        backoffMillis = limits.minBackoffMillis();
        opened.pipeline().addLast(new WritabilityHandler());
        flush();
    }

    private void retryLater() {
        // Full jitter, so that the links of many hosts do not come back together after a partition.
        long wait = 1 + ThreadLocalRandom.current().nextLong(backoffMillis);
        backoffMillis = Math.min(limits.maxBackoffMillis(), backoffMillis * 2);
        dropExpired();
        if (!closed && !loop.isShuttingDown()) {
            loop.schedule(
                    () -> {
                        if (!queue.isEmpty()) {
                            connect();
                        }
                    },
                    wait,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void dropExpired() {
        long now = System.nanoTime();
        int before = queue.size();
        queue.removeIf(queued -> now - queued.expiresAtNanos >= 0);
        int dropped = before - queue.size();
        waiting.addAndGet(-dropped);
        counters.expired().inc(dropped);
    }

    private void disconnect() {
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    private record Queued(PeerMessage message, long expiresAtNanos) {}

    /** Goes on writing when the connection takes more. */
    private final class WritabilityHandler extends io.netty.channel.ChannelInboundHandlerAdapter {
        @Override
        public void channelWritabilityChanged(io.netty.channel.ChannelHandlerContext context) {
            flush();
        }

        @Override
        public void channelInactive(io.netty.channel.ChannelHandlerContext context) {
            if (!queue.isEmpty()) {
                retryLater();
            }
        }

        @Override
        public void exceptionCaught(io.netty.channel.ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
