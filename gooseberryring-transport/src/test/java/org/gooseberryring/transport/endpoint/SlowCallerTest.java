package org.gooseberryring.transport.endpoint;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.state.Verdict;
import org.gooseberryring.transport.http.HttpWorker;
import org.junit.jupiter.api.Test;
import org.xnio.XnioIoThread;

import static com.google.common.truth.Truth.assertThat;

/** Tests a stream whose caller reads more slowly than its endpoint sends. */
class SlowCallerTest {
    private static final long IDLE_MILLIS = 500;
    private static final long WAIT_SECONDS = 20;
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: a\n\nid: 3\ndata: a\n\n";

    /** Guards against a part of an event behind which another endpoint goes on with the next one. */
    @Test
    void streamWithAPartOfAnEventIsNotContinued() throws Exception {
        FullSink sink = new FullSink(EVENTS.length() / 2);
        CountDownLatch ended = new CountDownLatch(1);
        HttpWorker worker = HttpWorker.start("slow-caller", 1, 1);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            XnioIoThread thread = worker.xnio().getIoThread();
            EndpointClient client =
                    new EndpointClient(worker, new EndpointLimits(10, 1_000, 5_000, IDLE_MILLIS, 0), new Streams());
            client.send("127.0.0.1:" + server.getLocalPort(), call(), thread, sink, listener(ended));
            try (Socket connection = server.accept()) {
                connection
                        .getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        + Integer.toHexString(EVENTS.length()) + "\r\n" + EVENTS + "\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                assertThat(ended.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
                assertThat(sink.aborted.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
            }
        } finally {
            worker.close();
        }
        assertThat(sink.received.size()).isEqualTo(EVENTS.length() / 2);
    }

    private static EndpointCall call() {
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, "h");
        EventCursor cursor = new EventCursor(OptionalLong.empty(), new EventNumbering());
        return new EndpointCall(
                "q",
                "POST",
                "/",
                headers,
                new byte[0],
                EndpointCall.Kind.PLAIN_SERVICE,
                false,
                cursor,
                EndpointCall.MAX_RESPONSE_BYTES,
                false,
                CallDeadline.NONE);
    }

    private static AttemptListener listener(CountDownLatch ended) {
        return new AttemptListener() {
            @Override
            public void onResponseStarted() {
                // The sink has the response.
            }

            @Override
            public void onAttemptEnded(AttemptOutcome outcome, byte[] recorded) {
                ended.countDown();
            }
        };
    }

    /** Protocol whose responses are all streams that may be continued. */
    private static final class Streams extends DelegatingEndpointProtocol {
        private Streams() {
            super(new ModelEngineProtocol());
        }

        @Override
        public boolean belongsTo(EndpointCall call, int status, HeaderMap headers) {
            return true;
        }

        @Override
        public Verdict refusal(EndpointCall call, int status, HeaderMap headers) {
            return null;
        }

        @Override
        public boolean carriesEvents(HeaderMap headers) {
            return true;
        }
    }

    /** Sink that takes a number of bytes and then no more. */
    private static final class FullSink implements ResponseSink {
        private final ByteArrayOutputStream received = new ByteArrayOutputStream();
        private final CountDownLatch aborted = new CountDownLatch(1);
        private final int maxBytes;

        private FullSink(int maxBytes) {
            this.maxBytes = maxBytes;
        }

        @Override
        public void start(int status, HeaderMap headers, long contentLength) {
            // The head does not matter.
        }

        @Override
        public int write(ByteBuffer bytes) {
            int count = Math.min(maxBytes - received.size(), bytes.remaining());
            for (int i = 0; i < count; i++) {
                received.write(bytes.get());
            }
            return count;
        }

        @Override
        public void flush() throws IOException {
            // Nothing is buffered.
        }

        @Override
        public void whenWritable(Runnable callback) {
            // The caller never reads again.
        }

        @Override
        public void finish() {
            throw new AssertionError("the response is not complete");
        }

        @Override
        public void abort() {
            aborted.countDown();
        }
    }
}
