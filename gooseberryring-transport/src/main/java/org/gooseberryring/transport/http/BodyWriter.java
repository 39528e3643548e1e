package org.gooseberryring.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

import org.xnio.channels.StreamSinkChannel;

/** Writes a request body to a connection without blocking its I/O thread. */
public final class BodyWriter {
    private final ByteBuffer body;
    private final Consumer<IOException> onFailure;
    private boolean done;

    /**
     * Creates a writer.
     *
     * @param body bytes to write
     * @param onFailure called on the I/O thread if the connection breaks
     */
    public BodyWriter(byte[] body, Consumer<IOException> onFailure) {
        this.body = ByteBuffer.wrap(body);
        this.onFailure = onFailure;
    }

    /** Writes as many bytes as the connection accepts now and the rest when it becomes writable. */
    public void write(StreamSinkChannel channel) {
        try {
            while (body.hasRemaining()) {
                if (channel.write(body) == 0) {
                    resumeWhenWritable(channel);
                    return;
                }
            }
            channel.shutdownWrites();
            done = channel.flush();
            if (!done) {
                resumeWhenWritable(channel);
            }
        } catch (IOException e) {
            onFailure.accept(e);
        }
    }

    /** Returns whether the complete body was passed to the operating system. */
    public boolean done() {
        return done;
    }

    private void resumeWhenWritable(StreamSinkChannel channel) {
        channel.getWriteSetter().set(c -> {
            c.suspendWrites();
            write(c);
        });
        channel.resumeWrites();
    }
}
