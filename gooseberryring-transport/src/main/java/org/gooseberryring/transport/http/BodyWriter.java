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

    /** Writes as much as the connection takes now and the rest when it is writable. */
    public void write(StreamSinkChannel channel) {
        try {
            while (body.hasRemaining()) {
                if (channel.write(body) == 0) {
                    resume(channel);
                    return;
                }
            }
            channel.shutdownWrites();
            done = channel.flush();
            if (!done) {
                resume(channel);
            }
        } catch (IOException e) {
            onFailure.accept(e);
        }
    }

    /** Returns whether the whole body was handed to the operating system. */
    public boolean done() {
        return done;
    }

    private void resume(StreamSinkChannel channel) {
        channel.getWriteSetter().set(c -> {
            c.suspendWrites();
            write(c);
        });
        channel.resumeWrites();
    }
}
