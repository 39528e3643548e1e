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

/** Sends messages to one peer over a connection that is reopened when it breaks. */
final class PeerSender {
    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final FrameSigner signer;
    private final PeerLimits limits;
    private final PeerCounters counters;
    private final AtomicInteger queuedCount = new AtomicInteger();
    private final ArrayDeque<QueuedMessage> queue = new ArrayDeque<>();
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

    /** Changes the address of the peer, which may differ after a restart, and closes the connection to the old one. */
    void setAddress(InetSocketAddress next) {
        if (!next.equals(address)) {
            address = next;
            execute(this::disconnect);
        }
    }

    /** Queues a message; returns false if the queue is full or the links are closed. */
    boolean send(PeerMessage message, long expiresAtNanos) {
        if (queuedCount.incrementAndGet() > limits.maxQueuedFrames()) {
            queuedCount.decrementAndGet();
            counters.queueFull().inc();
            return false;
        }
        boolean accepted = execute(() -> {
            queue.add(new QueuedMessage(message, expiresAtNanos));
            flush();
        });
        if (!accepted) {
            queuedCount.decrementAndGet();
        }
        return accepted;
    }

    void close() {
        execute(() -> {
            closed = true;
            disconnect();
        });
    }

    /** Runs a task on the peer's I/O thread; returns false once the links are closed, when requests may still end. */
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
            QueuedMessage next = queue.poll();
            queuedCount.decrementAndGet();
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
                onConnected(((io.netty.channel.ChannelFuture) future).channel());
            } else {
                scheduleReconnect();
            }
        });
    }

    private void onConnected(Channel opened) {
        if (closed) {
            opened.close();
            return;
        }
        channel = opened;
        backoffMillis = limits.minBackoffMillis();
        opened.pipeline().addLast(new WritabilityHandler());
        flush();
    }

    private void scheduleReconnect() {
        // Full jitter, so that many hosts do not reconnect at the same time after a partition.
        long delayMillis = 1 + ThreadLocalRandom.current().nextLong(backoffMillis);
        backoffMillis = Math.min(limits.maxBackoffMillis(), backoffMillis * 2);
        dropExpired();
        if (!closed && !loop.isShuttingDown()) {
            loop.schedule(
                    () -> {
                        if (!queue.isEmpty()) {
                            connect();
                        }
                    },
                    delayMillis,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void dropExpired() {
        long now = System.nanoTime();
        int before = queue.size();
        queue.removeIf(queued -> now - queued.expiresAtNanos >= 0);
        int dropped = before - queue.size();
        queuedCount.addAndGet(-dropped);
        counters.expired().inc(dropped);
    }

    private void disconnect() {
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    private record QueuedMessage(PeerMessage message, long expiresAtNanos) {}

    /** Resumes writing when the connection becomes writable, and reconnects after it was closed. */
    private final class WritabilityHandler extends io.netty.channel.ChannelInboundHandlerAdapter {
        @Override
        public void channelWritabilityChanged(io.netty.channel.ChannelHandlerContext context) {
            flush();
        }

        @Override
        public void channelInactive(io.netty.channel.ChannelHandlerContext context) {
            if (!queue.isEmpty()) {
                scheduleReconnect();
            }
        }

        @Override
        public void exceptionCaught(io.netty.channel.ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
