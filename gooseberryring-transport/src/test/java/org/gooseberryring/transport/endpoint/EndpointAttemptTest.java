package org.gooseberryring.transport.endpoint;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.state.Verdict;
import org.gooseberryring.transport.http.HttpWorker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.XnioIoThread;

import static com.google.common.truth.Truth.assertThat;

class EndpointAttemptTest {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int CONNECT_MILLIS = 100;

    /** Deadline of requests that have one, in milliseconds of their clock. */
    private static final long DEADLINE = 5_000;

    private HttpWorker worker;
    private ServerSocket endpoint;

    @BeforeEach
    void start() throws IOException {
        worker = HttpWorker.start("attempt-test", 1, 1);
        endpoint = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        endpoint.setSoTimeout(TIMEOUT_MILLIS);
    }

    @AfterEach
    void stop() throws IOException {
        endpoint.close();
        worker.close();
    }

    /** Guards against a path that ends the request line, or a word of it, and so holds a second request. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/a b",
                "/a\tb",
                "/a\rb",
                "/a\nb",
                "/a HTTP/1.1\r\nHost: h\r\n\r\nDELETE /b",
                "/a\u0000b",
                "/a\u007fb",
                "/a\u00e9b",
                "/a\u010d\u010ab",
                "a",
                ""
            })
    void pathThatEndsItsLineIsNeverWritten(String path) throws Exception {
        assertNothingWritten(call("GET", path, "X-Other", "v"));
    }

    /** Guards against methods that end their word or line and so hold another request. */
    @ParameterizedTest
    @ValueSource(strings = {"a b", "a\rb", "a\nb", "a\u0000b", "a\u007f", "a ", "", "\u00e9"})
    void methodThatEndsItsLineIsNeverWritten(String method) throws Exception {
        assertNothingWritten(call(method, "/a", "X-Other", "v"));
    }

    /** Guards against header names that hold another header. */
    @ParameterizedTest
    @ValueSource(strings = {"a b", "a:b", "a\u0000b", "a ", "\u00e9"})
    void nameThatIsNoWordIsNeverWritten(String name) throws Exception {
        assertNothingWritten(call("GET", "/a", name, "v"));
    }

    /** Guards against header values that end their line, or whose characters are written as others. */
    @ParameterizedTest
    @ValueSource(strings = {"a\rb", "a\nb", "a\u0000b", "a\u007fb", "a\u010d\u010ab", "a\u0001"})
    void valueThatEndsItsLineIsNeverWritten(String value) throws Exception {
        assertNothingWritten(call("GET", "/a", "X-Other", value));
    }

    /** Guards against proper requests that are not sent. */
    @ParameterizedTest
    @ValueSource(strings = {"/", "/a%0d%0a;b?c=%00&d=[]{}|\\^\"<>`", "/?", "/a?b?"})
    void properRequestIsWritten(String path) throws Exception {
        CompletableFuture<AttemptOutcome> outcome = new CompletableFuture<>();
        String received = send(call("M-SEARCH", path, "X-Other", "\u00e9 \t~"), outcome);
        assertThat(received).startsWith("M-SEARCH " + path + " HTTP/1.1\r\n");
        assertThat(received).contains("X-Other: \u00e9 \t~\r\n");
    }

    /** Guards against a sound endpoint that counts as lost because the host is late to see that its connection opened. */
    @Test
    void endpointIsNotLostWhenTheHostIsLateToSeeItsConnection() throws Exception {
        EndpointLimits limits = new EndpointLimits(8, CONNECT_MILLIS, TIMEOUT_MILLIS, TIMEOUT_MILLIS, 0);
        EndpointClient client = new EndpointClient(worker, limits, new OneRequestProtocol());
        CompletableFuture<AttemptOutcome> outcome = new CompletableFuture<>();
        XnioIoThread thread = worker.xnio().getIoThread();

        client.send(
                address(), call("GET", "/", "X-Other", "v"), thread, new NoResponse(), new OutcomeListener(outcome));
        thread.execute(() -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(3 * CONNECT_MILLIS)));

        try (Socket connection = endpoint.accept()) {
            connection.setSoTimeout(TIMEOUT_MILLIS);
            assertThat(connection.getInputStream().read()).isEqualTo('G');
        }
        assertThat(outcome.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).sent()).isTrue();
    }

    /** Guards against a head that states what was left when the request began to wait for its connection. */
    @Test
    void headStatesWhatIsLeftWhenItIsWritten() throws Exception {
        AtomicLong now = new AtomicLong(DEADLINE - 1_000);
        String received = send(call(now), new CompletableFuture<>(), () -> now.set(DEADLINE - 700));
        assertThat(received).contains("X-Left: 700\r\n");
    }

    /** Guards against a request that is sent although its time was over when its connection had opened. */
    @ParameterizedTest
    @ValueSource(longs = {DEADLINE, DEADLINE + 1})
    void requestWhoseTimeIsOverIsNeverWritten(long connectedAt) throws Exception {
        AtomicLong now = new AtomicLong(DEADLINE - 1_000);
        CompletableFuture<AttemptOutcome> outcome = new CompletableFuture<>();
        assertThat(send(call(now), outcome, () -> now.set(connectedAt))).isEmpty();
        AttemptOutcome ended = outcome.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertThat(ended.verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(ended.sent()).isFalse();
        assertThat(ended.endpointLost()).isFalse();
    }

    /** Guards against a head that is written by a later task of the I/O thread than the one that states what is left. */
    @ParameterizedTest
    @ValueSource(ints = {0, 4})
    void headIsWrittenInTheStepThatStatesWhatIsLeft(int bodyBytes) throws Exception {
        CountDownLatch written = new CountDownLatch(1);
        CallDeadline deadline = new CallDeadline(DEADLINE, () -> 0, (headers, left) -> holdBehindThisStep(written));
        EndpointCall call = new EndpointCall(
                        "id", "GET", "/", new HeaderMap(), new byte[bodyBytes], EndpointCall.Kind.PLAIN_SERVICE, false)
                .withDeadline(deadline);
        assertThat(send(call, new CompletableFuture<>())).endsWith("\r\n\r\n");
        written.countDown();
    }

    /** Holds the I/O thread of the caller from its next task on, for longer than an endpoint waits for a head. */
    private static void holdBehindThisStep(CountDownLatch released) {
        ((XnioIoThread) Thread.currentThread()).execute(() -> {
            try {
                released.await(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void assertNothingWritten(EndpointCall call) throws Exception {
        CompletableFuture<AttemptOutcome> outcome = new CompletableFuture<>();
        assertThat(send(call, outcome)).isEmpty();
        assertThat(outcome.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    /** Sends a request and returns the bytes that the endpoint gets up to the end of a head or of the connection. */
    private String send(EndpointCall call, CompletableFuture<AttemptOutcome> outcome) throws IOException {
        return send(call, outcome, () -> {});
    }

    /**
     * Sends a request and returns the bytes that the endpoint gets up to the end of a head or of the connection.
     *
     * @param beforeConnected runs after the attempt has begun and before its connection is open
     */
    private String send(EndpointCall call, CompletableFuture<AttemptOutcome> outcome, Runnable beforeConnected)
            throws IOException {
        EndpointLimits limits = new EndpointLimits(8, TIMEOUT_MILLIS, TIMEOUT_MILLIS, TIMEOUT_MILLIS, 0);
        EndpointClient client = new EndpointClient(worker, limits, new OneRequestProtocol());
        XnioIoThread thread = worker.xnio().getIoThread();
        thread.execute(() -> {
            client.send(address(), call, thread, new NoResponse(), new OutcomeListener(outcome));
            thread.execute(beforeConnected);
        });
        StringBuilder received = new StringBuilder();
        try (Socket connection = endpoint.accept()) {
            connection.setSoTimeout(TIMEOUT_MILLIS);
            int b = connection.getInputStream().read();
            while (b >= 0 && received.indexOf("\r\n\r\n") < 0) {
                received.append((char) b);
                b = received.indexOf("\r\n\r\n") < 0
                        ? connection.getInputStream().read()
                        : -1;
            }
        }
        return received.toString();
    }

    private String address() {
        return "127.0.0.1:" + endpoint.getLocalPort();
    }

    /** Returns a call whose head states what is left to the deadline. */
    private static EndpointCall call(AtomicLong now) {
        CallDeadline deadline =
                new CallDeadline(DEADLINE, now::get, (headers, left) -> headers.put(new HttpString("X-Left"), left));
        return call("GET", "/", "X-Other", "v").withDeadline(deadline);
    }

    private static EndpointCall call(String method, String path, String header, String value) {
        HeaderMap headers = new HeaderMap();
        headers.put(new HttpString(header.getBytes(StandardCharsets.ISO_8859_1)), value);
        return new EndpointCall("id", method, path, headers, new byte[0], EndpointCall.Kind.PLAIN_SERVICE, false);
    }

    /** Closes each connection after one request. */
    private static final class OneRequestProtocol extends DelegatingEndpointProtocol {
        private OneRequestProtocol() {
            super(new ModelEngineProtocol());
        }
    }

    /** Completes a future with the outcome of an attempt. */
    private record OutcomeListener(CompletableFuture<AttemptOutcome> outcome) implements AttemptListener {
        @Override
        public void onResponseStarted() {
            // No endpoint of this test responds.
        }

        @Override
        public void onAttemptEnded(AttemptOutcome ended, byte[] recorded) {
            outcome.complete(ended);
        }
    }

    /** Sink of a response that never starts. */
    private static final class NoResponse implements ResponseSink {
        @Override
        public void start(int status, HeaderMap headers, long contentLength) {
            throw new AssertionError("no endpoint of this test responds");
        }

        @Override
        public int write(ByteBuffer bytes) {
            throw new AssertionError("no endpoint of this test responds");
        }

        @Override
        public void flush() {
            // Nothing was written.
        }

        @Override
        public void whenWritable(Runnable callback) {
            callback.run();
        }

        @Override
        public void finish() {
            // Nothing was started.
        }

        @Override
        public void abort() {
            // Nothing was started.
        }
    }
}
