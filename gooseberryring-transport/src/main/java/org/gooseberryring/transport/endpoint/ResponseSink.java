package org.gooseberryring.transport.endpoint;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.util.HeaderMap;

/** Receives the bytes of a response; all methods run on the I/O thread of the attempt. */
public interface ResponseSink {
    /**
     * Starts the response.
     *
     * @param status HTTP status of the endpoint's response
     * @param headers headers of the endpoint's response; the sink selects which to pass on
     * @param contentLength declared length in bytes, -1 if there is none
     * @throws IOException if the receiver has disconnected or was sent another response
     */
    void start(int status, HeaderMap headers, long contentLength) throws IOException;

    /**
     * Writes bytes without blocking.
     *
     * @return number of bytes written, 0 if the receiver is not ready
     * @throws IOException if the receiver has disconnected
     */
    int write(ByteBuffer bytes) throws IOException;

    /** Flushes buffered bytes to the receiver. */
    void flush() throws IOException;

    /** Runs the callback once when more bytes can be written. */
    void whenWritable(Runnable callback);

    /** Ends a complete response; has no effect if the receiver has disconnected or was sent another response. */
    void finish();

    /**
     * Aborts a response that was started and is incomplete, so that the receiver detects the failure; has no effect on a
     * response that has ended.
     */
    void abort();
}
