package org.gooseberryring.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

import io.undertow.client.ClientConnection;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Bytes that the other side of a client connection may still send before it must have made progress.
 *
 * <p>The parser of heads, chunk sizes and trailers reads for as long as bytes arrive and keeps what it reads, so that a
 * peer which sends bytes without end would take all memory and the I/O thread. A read beyond the allowance fails. Belongs
 * to the I/O thread of the connection.
 */
public final class ReadAllowance extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** Bytes of the head of an answer, with the interim answers before it. */
    public static final long HEAD_BYTES = 65_536;

    /** Bytes of a body that may come without any content: chunk sizes, their extensions, and trailers. */
    public static final long FRAMING_BYTES = 65_536;

    private static final AttachmentKey<ReadAllowance> KEY = AttachmentKey.create(ReadAllowance.class);

    private long left = HEAD_BYTES;

    private ReadAllowance(StreamSourceConduit next) {
        super(next);
    }

    /** Puts an allowance on a connection that was just opened. */
    static ReadAllowance on(StreamConnection connection) {
        ReadAllowance allowance =
                new ReadAllowance(connection.getSourceChannel().getConduit());
        connection.getSourceChannel().setConduit(allowance);
        return allowance;
    }

    /** Names the client connection that the allowance limits. */
    void attachTo(ClientConnection connection) {
        ((Attachable) connection).putAttachment(KEY, this);
    }

    /** Returns the allowance of a connection of a {@link ClientConnector}. */
    public static ReadAllowance of(ClientConnection connection) {
        return ((Attachable) connection).getAttachment(KEY);
    }

    /** Sets the bytes that may be read from now on. */
    public void allow(long bytes) {
        left = bytes;
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        int limit = buffer.limit();
        buffer.limit(buffer.position() + room(buffer.remaining()));
        try {
            return (int) took(super.read(buffer));
        } finally {
            buffer.limit(limit);
        }
    }

    @Override
    public long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (buffers[i].hasRemaining()) {
                return read(buffers[i]);
            }
        }
        return 0;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
        return IoUtils.transfer(new ConduitReadableByteChannel(this), count, throughBuffer, target);
    }

    /** Returns how many of the wanted bytes may be read. */
    private int room(int wanted) throws IOException {
        if (wanted > 0 && left <= 0) {
            throw new IOException("the peer sends bytes without end that are no answer");
        }
        return (int) Math.min(wanted, left);
    }

    private long took(long count) {
        left -= Math.max(0, count);
        return count;
    }
}
