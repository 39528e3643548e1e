package org.gooseberryring.host.caller;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.gooseberryring.host.Host;
import org.gooseberryring.host.TestFleet;
import org.gooseberryring.standins.EngineSettings;
import org.gooseberryring.standins.EngineStandIn;
import org.gooseberryring.standins.InjectedFault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CallerHandlerTest {
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final String END = "\r\n\r\n";

    private TestFleet fleet;
    private Host host;
    private List<EngineStandIn> engines;

    @BeforeAll
    void start(@TempDir Path directory) throws Exception {
        fleet = new TestFleet(directory);
        engines = List.of(
                fleet.engine(EngineSettings.of("e1", 1L << 34, 32).withPace(0, 20)),
                fleet.engine(EngineSettings.of("e2", 1L << 34, 32).withPace(0, 20)));
        host = fleet.host("h1", "d1", "{\"limits\":{\"maxBodyBytes\":2000,\"maxOpenRequests\":4}}");
        fleet.configure(host);
    }

    @AfterAll
    void stop() {
        fleet.close();
    }

    @AfterEach
    void clear() {
        engines.forEach(engine -> engine.faults().clear());
        fleet.desk().faults().clear();
        TestFleet.await(() -> openRequests() == 0);
    }

    /** Guards against request heads that two servers interpret differently, and against API keys in access logs. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "Content-Length: LENGTH;Content-Length: 3 | /v1/completions | 400",
                "Content-Length: LENGTH;Transfer-Encoding: chunked | /v1/completions | 400",
                "Authorization: Bearer other;Content-Length: LENGTH | /v1/completions | 400",
                "Content-Length: LENGTH | /v1/completions?api_key=key-of-inkingi | 400",
                "Content-Length: LENGTH | /v1/completions?x=1&%61pi%5Fkey=key-of-inkingi | 400",
                "Content-Length: LENGTH | /services/desk/open/..%2forders | 400",
                "Content-Length: LENGTH | /services/desk//open | 400",
                "Content-Length: LENGTH | /v1/other | 404",
                "Content-Length: LENGTH | /services/other/x | 404"
            })
    void malformedHeadIsRefused(String headers, String path, int status) throws IOException {
        long before = fleet.desk().record().calls();
        // The body is valid, so only the head can cause the refusal.
        String body = "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":1}";

        String response = exchange("POST " + path
                + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer "
                + TestFleet.KEY + "\r\n"
                + headers.replace("LENGTH", Integer.toString(body.length())).replace(";", "\r\n") + END + body);

        assertThat(response).startsWith("HTTP/1.1 " + status);
        assertThat(fleet.desk().record().calls()).isEqualTo(before);
    }

    /** Guards against another path or query at a service than the caller's, and against requests hidden in a path. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/status/a%3Fb",
                "/status/a%23b",
                "/status/a%20b",
                "/status/a%0d%0ab",
                "/status/a%C4%8D%C4%8Ab",
                "/status/a%e9b",
                "/status/a?x=%3F%0d%0a&x=1&x=1",
                "/status/a?%3Fx=1",
                "/status/x%20HTTP/1.1%0D%0AHost:%20h%0D%0A%0D%0ADELETE%20/orders%20HTTP/1.1%0D%0AX-Rest:%20"
            })
    void serviceGetsTheTargetOfTheCaller(String target) throws IOException {
        for (String authority : List.of("", "http://h", "HTTP://h")) {
            long before = fleet.desk().record().calls();

            String response = exchange("GET " + authority + "/services/desk" + target
                    + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer " + TestFleet.KEY + END);

            assertThat(response).contains("\"target\":\"" + target + "\"");
            assertThat(fleet.desk().record().calls()).isEqualTo(before + 1);
        }
    }

    /** Guards against a query whose first question mark is lost. */
    @Test
    void serviceGetsAQueryThatBeginsWithQuestionMarks() throws IOException {
        String response = exchange("GET /services/desk/status???x=1 HTTP/1.1\r\nHost: h\r\nConnection: close"
                + "\r\nAuthorization: Bearer " + TestFleet.KEY + END);

        // The HTTP server of the service drops one question mark, too.
        assertThat(response).contains("\"target\":\"/status??x=1\"");
    }

    /** Guards against targets that two servers could read as different requests. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "http://other/services/desk/status",
                "http://user@h/services/desk/status",
                "http://h:81/services/desk/status",
                "ftp://h/services/desk/status",
                "http://h;x/services/desk/status",
                "http://h/services/desk/open/%2e%2e/orders",
                "http://h/services/desk/open/%252e%252e/orders",
                "*"
            })
    void targetWithoutAClearMeaningIsRefused(String target) throws IOException {
        long before = fleet.desk().record().calls();

        String response = exchange("OPTIONS " + target
                + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer " + TestFleet.KEY + END);

        assertThat(response).startsWith("HTTP/1.1 400");
        assertThat(fleet.desk().record().calls()).isEqualTo(before);
    }

    /** Guards against failures with methods whose responses have no body, and with callers that wait for 100 Continue. */
    @ParameterizedTest
    @CsvSource({"GET,false", "HEAD,false", "PUT,true", "DELETE,false", "POST,true"})
    void serviceRespondsToEveryMethod(String method, boolean expectContinue) throws Exception {
        HttpRequest.Builder request = fleet.service(host, method, "/status").expectContinue(expectContinue);

        assertThat(fleet.send(request).statusCode()).isEqualTo(200);
    }

    /** Guards against bodies that exhaust memory. */
    @Test
    void oversizedBodyIsRefused() throws Exception {
        HttpResponse<String> response = fleet.send(fleet.completion(host, "x".repeat(3000), 1, false));

        assertThat(response.statusCode()).isEqualTo(413);
        assertThat(TestFleet.code(response)).isEqualTo("body-too-large not-run");
    }

    /** Guards against large bodies that the HTTP server closes without a response, below the limit of the settings. */
    @Test
    void largeBodyWithinTheLimitIsAnswered() throws Exception {
        Host large = fleet.host("h2", "d1", "{\"limits\":{\"maxBodyBytes\":4000000}}");
        fleet.configure(large);

        HttpRequest.Builder request = fleet.service(large, "POST", "/status")
                .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[3_000_000]));
        assertThat(fleet.send(request).statusCode()).isEqualTo(200);
    }

    /** Guards against a request that runs although its body is incomplete. */
    @Test
    void requestWithTruncatedBodyDoesNotRun() throws IOException {
        long before = fleet.desk().record().calls();
        try (Socket socket = connect()) {
            String head = "POST /services/desk/orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + TestFleet.KEY
                    + "\r\nContent-Length: 100" + END + "half";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.shutdownOutput();

            assertThat(socket.getInputStream().readAllBytes()).isEmpty();
        }
        assertThat(fleet.desk().record().calls()).isEqualTo(before);
    }

    /** Guards against requests without a valid API key, and against responses that reveal which models exist. */
    @Test
    void unknownKeyAndUnknownModelAreRefused() throws Exception {
        HttpRequest.Builder noKey = HttpRequest.newBuilder(TestFleet.uri(host.callerAddress(), "/v1/models"));
        HttpRequest.Builder unknownKey = noKey.copy().header("Authorization", "Bearer unknown");
        HttpRequest.Builder unknownModel = fleet.completion(host, "x", 1, false)
                .POST(HttpRequest.BodyPublishers.ofString("{\"model\":\"other\",\"prompt\":\"x\"}"));

        assertThat(TestFleet.code(fleet.send(noKey))).isEqualTo("unauthenticated not-run");
        assertThat(TestFleet.code(fleet.send(unknownKey))).isEqualTo("unauthenticated not-run");
        assertThat(TestFleet.code(fleet.send(unknownModel))).isEqualTo("not-found not-run");
    }

    /** Guards against a response that belongs to another caller, and against a truncated one that looks complete. */
    @Test
    void wrongAndTruncatedResponsesAreRetried() throws Exception {
        String expected = EngineStandIn.expectedText("p", 2);
        // The retry budget allows one retry per ten first attempts.
        for (int i = 0; i < 40; i++) {
            fleet.send(fleet.completion(host, "p", 1, false));
        }
        engines.forEach(engine -> engine.faults().set(InjectedFault.WRONG_REQUEST_ID, 1));
        assertThat(TestFleet.text(fleet.send(fleet.completion(host, "p", 2, false))))
                .isEqualTo(expected);

        engines.forEach(engine -> engine.faults().clear());
        engines.get(0).faults().set(InjectedFault.CUT_ANSWERS, 1);
        assertThat(TestFleet.text(fleet.send(fleet.completion(host, "p", 2, false))))
                .isEqualTo(expected);
    }

    /** Guards against a stream that ends early and looks complete to its caller. */
    @Test
    void truncatedStreamAbortsTheConnection() throws IOException {
        engines.forEach(engine -> {
            engine.faults().set(InjectedFault.CUT_ANSWERS, 1);
            engine.faults().set(InjectedFault.CUT_AFTER_BYTES, 300);
        });
        String body = "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":9,\"stream\":true}";

        String response =
                exchange("POST /v1/completions HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer "
                        + TestFleet.KEY + "\r\nContent-Length: " + body.length() + END + body);

        assertThat(response).startsWith("HTTP/1.1 200");
        assertThat(response).doesNotContain("[DONE]");
        assertThat(response).doesNotContain("\r\n0\r\n");
    }

    /** Guards against engines that continue a request whose caller disconnected before the first byte of the response. */
    @Test
    void disconnectCancelsTheRequest() throws IOException {
        long startedBefore = startedRequests();
        long before = stoppedRequests();
        String body = "{\"model\":\"m\",\"prompt\":\"leaving\",\"max_tokens\":2000}";
        try (Socket socket = connect()) {
            String head = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + TestFleet.KEY
                    + "\r\nContent-Length: " + body.length() + END + body;
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            // If the caller disconnects before the dispatch of its request, the engines have nothing to cancel.
            TestFleet.await(() -> startedRequests() > startedBefore);
        }

        TestFleet.await(() -> stoppedRequests() > before);
    }

    /** Guards against engines that continue a stream whose caller has disconnected. */
    @Test
    void disconnectCancelsTheStream() throws IOException {
        long before = stoppedRequests();
        String body = "{\"model\":\"m\",\"prompt\":\"leaving\",\"max_tokens\":1000,\"stream\":true}";
        try (Socket socket = connect()) {
            String head = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + TestFleet.KEY
                    + "\r\nContent-Length: " + body.length() + END + body;
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            assertThat(socket.getInputStream().read()).isEqualTo('H');
        }

        TestFleet.await(() -> stoppedRequests() > before);
    }

    /** Guards against memory that grows with the number of callers. */
    @Test
    void openRequestsAreBounded() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> streams = java.util.stream.IntStream.range(0, 4)
                .mapToObj(i -> fleet.client()
                        .sendAsync(
                                fleet.completion(host, "s" + i, 40, true).build(),
                                HttpResponse.BodyHandlers.ofString()))
                .toList();
        TestFleet.await(() -> openRequests() == 4);

        HttpResponse<String> refused = fleet.send(fleet.completion(host, "x", 1, false));

        assertThat(TestFleet.code(refused)).isEqualTo("overloaded not-run");
        assertThat(refused.headers().firstValue("Retry-After")).hasValue("1");
        for (CompletableFuture<HttpResponse<String>> stream : streams) {
            assertThat(stream.get().body().strip()).endsWith("data: [DONE]");
        }
    }

    private long startedRequests() {
        return engines.stream().mapToLong(e -> e.record().started().size()).sum();
    }

    /** Returns the number of requests that were interrupted or cancelled at the engines. */
    private long stoppedRequests() {
        return engines.stream()
                .mapToLong(e -> e.record().interrupted() + e.record().cancelled())
                .sum();
    }

    private int openRequests() {
        return host.openRequests();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", host.callerAddress().getPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    /** Sends raw bytes and returns all bytes received until the connection ends, or an empty text if it is reset. */
    private String exchange(String request) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            StringBuilder response = new StringBuilder();
            InputStream in = socket.getInputStream();
            for (int b = in.read(); b >= 0; b = in.read()) {
                response.append((char) b);
            }
            return response.toString();
        } catch (java.net.SocketException e) {
            return "";
        }
    }
}
