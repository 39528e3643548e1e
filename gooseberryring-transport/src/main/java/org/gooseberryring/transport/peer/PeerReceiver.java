package org.gooseberryring.transport.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.protocol.peer.SignedFrame;

/** Verifies the frames of one connection and passes on those that are authentic, new and addressed to this host. */
final class PeerReceiver extends SimpleChannelInboundHandler<ByteBuf> {
    private final String hostId;
    private final FrameSigner signer;
    private final ReplayWindow replayWindow;
    private final PeerCounters counters;
    private final PeerListener listener;

    PeerReceiver(
            String hostId,
            FrameSigner signer,
            ReplayWindow replayWindow,
            PeerCounters counters,
            PeerListener listener) {
        this.hostId = hostId;
        this.signer = signer;
        this.replayWindow = replayWindow;
        this.counters = counters;
        this.listener = listener;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        try {
            SignedFrame signed = SignedFrame.parseFrom(ByteBufUtil.getBytes(frame));
            byte[] payload = signed.getPayload().toByteArray();
            if (!signer.verify(payload, signed.getHmac().toByteArray())) {
                counters.wrongHmac().inc();
                return;
            }
            accept(PeerMessage.parseFrom(payload));
        } catch (InvalidProtocolBufferException e) {
            counters.malformed().inc();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A frame exceeded the size limit or the connection broke; the sender opens a new connection.
        counters.malformed().inc();
        context.close();
    }

    private void accept(PeerMessage message) {
        if (!message.getReceiver().equals(hostId)) {
            counters.wrongReceiver().inc();
        } else if (!replayWindow.accept(message.getSender(), message.getSenderIncarnation(), message.getSequence())) {
            counters.replayed().inc();
        } else {
            counters.received().inc();
            listener.onMessage(message);
        }
    }
}
