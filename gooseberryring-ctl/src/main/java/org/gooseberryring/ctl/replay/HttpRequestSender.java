package org.gooseberryring.ctl.replay;

import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.Consumer;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.transport.endpoint.EndpointCall;
import org.gooseberryring.transport.endpoint.EndpointClient;
import org.gooseberryring.transport.endpoint.EndpointLimits;
import org.gooseberryring.transport.http.HttpWorker;

/** Sends requests to the caller interface of live hosts, round-robin. */
final class HttpRequestSender implements RequestSender {
    private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    private static final HttpString PRIORITY_CLASS = new HttpString("X-Priority-Class");
    private static final String PATH = "/v1/chat/completions";
    // The hosts count four bytes as one token, so this word is one token.
    private static final String WORD = "abc ";
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int RESPONSE_TIMEOUT_MILLIS = 120_000;

    private final List<String> hosts;
    private final HttpWorker worker;
    private final EndpointClient client;
    private final String runId = UUID.randomUUID().toString();

    /**
     * Creates a sender.
     *
     * @param hosts caller addresses as {@code ip:port}
     * @param maxInFlight maximum number of requests in flight to one host
     */
    HttpRequestSender(List<String> hosts, HttpWorker worker, int maxInFlight) {
        this.hosts = List.copyOf(hosts);
        this.worker = worker;
        this.client = new EndpointClient(
                worker,
                new EndpointLimits(
                        maxInFlight, CONNECT_TIMEOUT_MILLIS, RESPONSE_TIMEOUT_MILLIS, RESPONSE_TIMEOUT_MILLIS, 0));
    }

    @Override
    public void send(int number, TraceLine line, String key, long sentMillis, Consumer<Outcome> done) {
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.AUTHORIZATION, "Bearer " + key);
        headers.put(Headers.CONTENT_TYPE, "application/json");
        if (line.priorityClass() != null) {
            headers.put(PRIORITY_CLASS, line.priorityClass());
        }
        String id = runId + "-" + number;
        if (!line.idempotent()) {
            headers.put(IDEMPOTENCY_KEY, id);
        }
        EndpointCall call = new EndpointCall(
                id, "POST", PATH, headers, body(line), EndpointCall.Kind.PLAIN_SERVICE, line.idempotent());
        OutcomeSink sink = new OutcomeSink(line, sentMillis, done);
        client.send(hosts.get(number % hosts.size()), call, worker.xnio().getIoThread(number), sink, sink);
    }

    private static byte[] body(TraceLine line) {
        String model = line.model() + (line.adapter() == null ? "" : ":" + line.adapter());
        return Json.write(Map.of(
                "model",
                model,
                "stream",
                true,
                "max_tokens",
                line.outputTokens(),
                "messages",
                List.of(Map.of("role", "user", "content", WORD.repeat(line.promptTokens())))));
    }
}
