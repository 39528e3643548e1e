package org.gooseberryring.host.caller;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.undertow.Undertow;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.gooseberryring.host.HostMetrics;
import org.gooseberryring.state.PriorityClass;
import org.gooseberryring.state.Verdict;
import org.gooseberryring.transport.endpoint.EndpointCall;
import org.gooseberryring.transport.endpoint.EndpointClient;
import org.gooseberryring.transport.endpoint.EndpointLimits;
import org.gooseberryring.transport.endpoint.EndpointProtocol;
import org.gooseberryring.transport.endpoint.EndpointSignals;
import org.gooseberryring.transport.endpoint.PassThroughProtocol;
import org.gooseberryring.transport.endpoint.ResponseEnd;
import org.gooseberryring.transport.http.HttpWorker;
import org.gooseberryring.transport.peer.FrameSigner;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EndpointRelayHandlerTest {
    private static final byte[] SECRET = "secret".getBytes(StandardCharsets.UTF_8);
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int MAX_BODY_BYTES = 1_000;
    private static final long ARRIVED_AT = 10_000;

    /** Time that the sender of a request states as left. */
    private static final long LEFT_MILLIS = 1_000;

    private final AtomicLong now = new AtomicLong(ARRIVED_AT);
    private HttpWorker worker;
    private ServerSocket endpoint;
    private Undertow host;

    /** Time on the clock when the request is ready to be sent, after its arrival. */
    private long readyAt = ARRIVED_AT;

    @BeforeEach
    void start() throws IOException {
        worker = HttpWorker.start("relay-test", 1, 1);
        endpoint = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        endpoint.setSoTimeout(TIMEOUT_MILLIS);
        host = Undertow.builder()
                .setWorker(worker.xnio())
                .addHttpListener(0, "127.0.0.1")
                .setHandler(handler())
                .build();
        host.start();
    }

    @AfterEach
    void stop() throws IOException {
        host.stop();
        endpoint.close();
        worker.close();
    }

    /** Guards against an endpoint that is told what was left when the request arrived at the host that passes it on. */
    @Test
    void requestStatesWhatIsLeftWhenItIsWritten() throws Exception {
        readyAt = ARRIVED_AT + 300;
        try (Socket sender = send();
                Socket connection = endpoint.accept()) {
            assertThat(head(connection)).contains("X-Left: 700\r\n");
        }
    }

    /** Guards against a request that is passed on although its time was over before. */
    @Test
    void requestWhoseTimeIsOverIsNotPassedOn() throws Exception {
        readyAt = ARRIVED_AT + LEFT_MILLIS;
        try (Socket sender = send();
                Socket connection = endpoint.accept()) {
            assertThat(head(connection)).isEmpty();
            assertThat(head(sender)).contains("X-Request-Verdict: not-run\r\n");
        }
    }

    private Socket send() throws IOException {
        HeaderMap headers = new HeaderMap();
        headers.put(new HttpString("Host"), "endpoint");
        headers.put(new HttpString("X-Id"), "r-1");
        RelayHead head = new RelayHead(
                "relayed", 1, "org", PriorityClass.NORMAL, true, LEFT_MILLIS, System.currentTimeMillis(), "", 1, "e1");
        head.addTo(headers, new FrameSigner(SECRET), "GET", "/a", Digests.sha256(new byte[0]));
        StringBuilder text = new StringBuilder("GET /a HTTP/1.1\r\n");
        headers.forEach(values -> text.append(values.getHeaderName() + ": " + values.getFirst() + "\r\n"));
        int port = ((InetSocketAddress) host.getListenerInfo().get(0).getAddress()).getPort();
        Socket sender = new Socket(InetAddress.getLoopbackAddress(), port);
        sender.getOutputStream().write((text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        return sender;
    }

    /** Returns what arrives up to the end of a head or of the connection. */
    private static String head(Socket connection) throws IOException {
        connection.setSoTimeout(TIMEOUT_MILLIS);
        InputStream in = connection.getInputStream();
        StringBuilder received = new StringBuilder();
        int b = in.read();
        while (b >= 0 && !received.toString().endsWith("\r\n\r\n")) {
            received.append((char) b);
            b = received.toString().endsWith("\r\n\r\n") ? -1 : in.read();
        }
        return received.toString();
    }

    private EndpointRelayHandler handler() {
        EndpointProtocol protocol = new PassThroughProtocol(new StatingProtocol());
        EndpointLimits limits = new EndpointLimits(8, TIMEOUT_MILLIS, TIMEOUT_MILLIS, TIMEOUT_MILLIS, 0);
        return new EndpointRelayHandler(
                new RelayAuthenticator(() -> SECRET, System::currentTimeMillis),
                worker.budget().requests(),
                new OpenRequests(8),
                new EndpointClient(worker, limits, protocol),
                protocol,
                new LateTargets(),
                ResponseHeaderPolicy.STANDARD,
                () -> MAX_BODY_BYTES,
                new HostMetrics(),
                (thread, at) -> 0,
                now::get,
                8);
    }

    /** Knows one endpoint, and finds it late. */
    private final class LateTargets implements EndpointRelayHandler.Targets {
        @Override
        public String address(String endpointId) {
            now.set(readyAt);
            return "127.0.0.1:" + endpoint.getLocalPort();
        }

        @Override
        public Consumer<EndpointSignals> signals(String endpointId) {
            return signals -> {};
        }
    }

    /** Protocol of endpoints whose requests state what is left. */
    private static final class StatingProtocol implements EndpointProtocol {
        @Override
        public HttpString requestIdHeader() {
            return new HttpString("X-Id");
        }

        @Override
        public HttpString deadlineHeader() {
            return new HttpString("X-Left");
        }

        @Override
        public String host(EndpointCall call, String address) {
            return address;
        }

        @Override
        public boolean mayReuse(EndpointCall call) {
            return false;
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
        public boolean isComplete(EndpointCall call, int status, HeaderMap headers, ResponseEnd end) {
            return true;
        }
    }
}
