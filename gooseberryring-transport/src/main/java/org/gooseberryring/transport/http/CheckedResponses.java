package org.gooseberryring.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Fails the reads of a client connection from the first byte that violates the grammar of a response.
 *
 * <p>Not thread-safe; used on the I/O thread of the connection only, by the {@link ReadAllowance} above it, which reads
 * into one buffer at a time.
 */
final class CheckedResponses extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private ResponseGrammar grammar = new ResponseGrammar();

    private CheckedResponses(StreamConnection connection) {
        super(connection.getSourceChannel().getConduit());
    }

    /** Installs a check on a connection that was just opened. */
    static CheckedResponses on(StreamConnection connection) {
        CheckedResponses check = new CheckedResponses(connection);
        connection.getSourceChannel().setConduit(check);
        return check;
    }

    /** Starts to check the next response of the connection. */
    void startResponse() {
        grammar = new ResponseGrammar();
    }

    /** Returns how the peer has violated the grammar of the present response, null if it has not. */
    ResponseFault fault() {
        return grammar.fault();
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        if (grammar.fault() != null) {
            throw new IOException(
                    "the peer sent a response with a fault: " + grammar.fault().logName());
        }
        int start = buffer.position();
        int count = super.read(buffer);
        if (count <= 0) {
            return count;
        }
        int sound = grammar.accept(buffer, start, start + count) - start;
        if (sound == count) {
            return count;
        }
        // The bytes before the violation are sound, and the reader gets them first.
        buffer.position(start + sound);
        return sound > 0 ? sound : read(buffer);
    }
}
