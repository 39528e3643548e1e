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
 * Limit of the bytes that the peer of a client connection may send without making progress on a response.
 *
 * <p>The parser of heads, chunk sizes and trailers reads and buffers bytes for as long as they arrive. Without a limit,
 * a peer that sends unbounded data would exhaust the memory and block the I/O thread. A read beyond the allowance
 * fails. Not thread-safe; used on the I/O thread of the connection only.
 */
public final class ReadAllowance extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** Maximum size in bytes of the head of a response, including the interim responses before it. */
    public static final long HEAD_BYTES = 65_536;

    /** Maximum number of body bytes without content: chunk sizes, their extensions, and trailers. */
    public static final long FRAMING_BYTES = 65_536;

    private static final AttachmentKey<ReadAllowance> KEY = AttachmentKey.create(ReadAllowance.class);

    private final StreamConnection connection;
    private final CheckedResponses responses;
    private long remainingBytes = HEAD_BYTES;

    private ReadAllowance(StreamConnection connection, CheckedResponses responses) {
        super(responses);
        this.connection = connection;
        this.responses = responses;
    }

    /** Installs an allowance on a connection that was just opened. */
    static ReadAllowance on(StreamConnection connection) {
        ReadAllowance allowance = new ReadAllowance(connection, CheckedResponses.on(connection));
        connection.getSourceChannel().setConduit(allowance);
        return allowance;
    }

    /** Attaches the allowance to the client connection that it limits. */
    void attachTo(ClientConnection connection) {
        ((Attachable) connection).putAttachment(KEY, this);
    }

    /** Returns the allowance of a connection that a {@link ClientConnector} opened. */
    public static ReadAllowance of(ClientConnection connection) {
        return ((Attachable) connection).getAttachment(KEY);
    }

    /**
     * Closes the socket of a connection that a {@link ClientConnector} opened. The HTTP client would only close it when
     * the peer does, or after 10 s.
     *
     * @param client connection, null if none was opened
     */
    public static void closeSocket(ClientConnection client) {
        if (client == null) {
            return;
        }
        ReadAllowance allowance = of(client);
        IoUtils.safeClose(allowance == null ? client : allowance.connection);
    }

    /** Allows the head of the next response on a connection that is used again. */
    void startResponse() {
        allow(HEAD_BYTES);
        responses.startResponse();
    }

    /** Returns how the peer has violated the grammar of a response, so that reads fail; null if it has not. */
    public ResponseFault fault() {
        return responses.fault();
    }

    /** Sets the number of bytes that may be read from now on. */
    public void allow(long bytes) {
        remainingBytes = bytes;
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        int limit = buffer.limit();
        buffer.limit(buffer.position() + allowedBytes(buffer.remaining()));
        try {
            return (int) consume(super.read(buffer));
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

    /** Returns how many of the requested bytes may be read. */
    private int allowedBytes(int requestedBytes) throws IOException {
        if (requestedBytes > 0 && remainingBytes <= 0) {
            throw new IOException("the peer sent more bytes without response content than allowed");
        }
        return (int) Math.min(requestedBytes, remainingBytes);
    }

    private long consume(long count) {
        remainingBytes -= Math.max(0, count);
        return count;
    }
}
