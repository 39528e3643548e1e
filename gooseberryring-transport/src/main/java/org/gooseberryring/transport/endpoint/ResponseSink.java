package org.gooseberryring.transport.endpoint;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.util.HeaderMap;

/** Takes the bytes of an answer; all methods run on the I/O thread of the attempt. */
public interface ResponseSink {
    /**
     * Opens the answer.
     *
     * @param status HTTP status of the endpoint's answer
     * @param headers headers of the endpoint's answer; the sink chooses which to pass on
     * @param contentLength declared length in bytes, -1 if there is none
     */
    void start(int status, HeaderMap headers, long contentLength);

    /**
     * Writes bytes without blocking.
     *
     * @return bytes taken, 0 if the receiver is not ready
     * @throws IOException if the receiver has gone
     */
    int write(ByteBuffer bytes) throws IOException;

    /** Sends what is buffered on its way. */
    void flush() throws IOException;

    /** Calls back once when more bytes can be written. */
    void whenWritable(Runnable callback);

    /** Ends a complete answer. */
    void finish();

    /** Breaks off an answer that was started and is not complete, so that the receiver notices it. */
    void abort();
}
