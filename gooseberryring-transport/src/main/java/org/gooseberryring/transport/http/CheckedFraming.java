package org.gooseberryring.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Fails the reads of a client connection from the first byte that violates the framing of a chunked response.
 *
 * <p>Not thread-safe; used on the I/O thread of the connection only, by the {@link ReadAllowance} above it, which reads
 * into one buffer at a time.
 */
final class CheckedFraming extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private ChunkFraming framing = new ChunkFraming();
    private boolean violated;

    private CheckedFraming(StreamConnection connection) {
        super(connection.getSourceChannel().getConduit());
    }

    /** Installs a check on a connection that was just opened. */
    static CheckedFraming on(StreamConnection connection) {
        CheckedFraming check = new CheckedFraming(connection);
        connection.getSourceChannel().setConduit(check);
        return check;
    }

    /** Starts to check the next response of the connection. */
    void startResponse() {
        framing = new ChunkFraming();
    }

    /** Returns whether the peer has violated the framing of a response. */
    boolean isViolated() {
        return violated;
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        if (violated) {
            throw new IOException("the peer violated the framing of a chunked response");
        }
        int start = buffer.position();
        int count = super.read(buffer);
        if (count <= 0) {
            return count;
        }
        int sound = framing.accept(buffer, start, start + count) - start;
        if (sound == count) {
            return count;
        }
        // The bytes before the violation are sound, and the reader gets them first.
        violated = true;
        buffer.position(start + sound);
        return sound > 0 ? sound : read(buffer);
    }
}
