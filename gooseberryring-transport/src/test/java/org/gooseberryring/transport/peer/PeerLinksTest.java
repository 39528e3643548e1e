package org.gooseberryring.transport.peer;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import org.gooseberryring.protocol.peer.ConfigurationRequest;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.protocol.peer.SignedFrame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PeerLinksTest {
    private static final byte[] SECRET = "a-secret-of-at-least-thirty-two-bytes".getBytes(StandardCharsets.UTF_8);
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final long LIFETIME_MILLIS = 60_000;

    private final MetricRegistry metrics = new MetricRegistry();
    private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
    private PeerLinks links;
    private InetSocketAddress address;

    @BeforeEach
    void start() {
        links = new PeerLinks("h1", 1, SECRET, PeerLimits.defaults(16), received::add, metrics);
        address = links.listen(ANY_PORT);
    }

    @AfterEach
    void stop() {
        links.close();
    }

    /** Guards against forged, replayed and misdirected frames, which could create tokens or claims. */
    @Test
    void acceptsOnlyAuthenticNewFramesForThisHost() throws Exception {
        byte[] valid = frame(message("h1", 5, 1), SECRET);
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            write(socket, frame(message("h1", 5, 2), "another-secret-of-thirty-two-bytes!".getBytes()));
            write(socket, new byte[] {1, 2, 3});
            write(socket, frame(message("h2", 5, 3), SECRET));
            write(socket, valid);
            write(socket, valid);
            write(socket, frame(message("h1", 4, 9), SECRET));
            write(socket, frame(message("h1", 5, 4), SECRET));

            assertThat(next().getSequence()).isEqualTo(1);
            assertThat(next().getSequence()).isEqualTo(4);
        }
        assertThat(metrics.counter("peer.dropped.hmac").getCount()).isEqualTo(1);
        assertThat(metrics.counter("peer.dropped.malformed").getCount()).isEqualTo(1);
        assertThat(metrics.counter("peer.dropped.receiver").getCount()).isEqualTo(1);
        assertThat(metrics.counter("peer.dropped.replayed").getCount()).isEqualTo(2);
    }

    /** Guards against a sender that does not reconnect after a restart of its peer, so that all messages are lost. */
    @Test
    void senderReconnectsAfterPeerRestart() throws Exception {
        try (PeerLinks sender =
                new PeerLinks("h9", 7, SECRET, PeerLimits.defaults(16), m -> {}, new MetricRegistry())) {
            sender.setPeerAddress("h1", address);
            sender.send("h1", body(1), LIFETIME_MILLIS);
            assertThat(next().getSender()).isEqualTo("h9");

            links.close();
            links = new PeerLinks("h1", 2, SECRET, PeerLimits.defaults(16), received::add, metrics);
            // Uses another port, because the system may have assigned the old one to another connection.
            sender.setPeerAddress("h1", links.listen(ANY_PORT));

            // Frames that were written to the broken connection are lost, so the test sends the message repeatedly.
            PeerMessage again = null;
            for (int i = 0; again == null && i < 200; i++) {
                sender.send("h1", body(2), LIFETIME_MILLIS);
                again = received.poll(100, TimeUnit.MILLISECONDS);
            }
            assertThat(again).isNotNull();
        }
    }

    /** Guards against a request whose end fails during shutdown because its message can no longer be sent. */
    @Test
    void closedLinksRejectMessages() {
        links.setPeerAddress("h2", new InetSocketAddress("127.0.0.1", 1));
        links.close();

        assertThat(links.send("h2", body(1), LIFETIME_MILLIS)).isFalse();
    }

    /** Guards against unbounded memory use while a peer is unreachable. */
    @Test
    void limitsQueuedMessagesForUnreachablePeer() {
        InetSocketAddress unreachable = new InetSocketAddress("127.0.0.1", 1);
        links.setPeerAddress("h2", unreachable);
        int accepted = 0;
        for (int i = 0; i < 100; i++) {
            accepted += links.send("h2", body(i), LIFETIME_MILLIS) ? 1 : 0;
        }

        assertThat(accepted).isEqualTo(16);
        assertThat(metrics.counter("peer.dropped.queue").getCount()).isEqualTo(84);
    }

    private PeerMessage next() throws InterruptedException {
        return received.poll(20, TimeUnit.SECONDS);
    }

    private static PeerMessage.Builder body(long revision) {
        return PeerMessage.newBuilder()
                .setConfigurationRequest(ConfigurationRequest.newBuilder().setKnownRevision(revision));
    }

    private static PeerMessage message(String receiver, long incarnation, long sequence) {
        return body(0).setSender("h9")
                .setSenderIncarnation(incarnation)
                .setSequence(sequence)
                .setReceiver(receiver)
                .build();
    }

    private static byte[] frame(PeerMessage message, byte[] secret) {
        byte[] payload = message.toByteArray();
        return SignedFrame.newBuilder()
                .setPayload(ByteString.copyFrom(payload))
                .setHmac(ByteString.copyFrom(new FrameSigner(secret).sign(payload)))
                .build()
                .toByteArray();
    }

    private static void write(Socket socket, byte[] frame) throws IOException {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(frame.length);
        out.write(frame);
        out.flush();
    }
}
