package org.gooseberryring.host.caller;

import java.util.HexFormat;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.host.engine.RequestLoop;
import org.gooseberryring.host.settings.HostSettings;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.GooseberryringException;
import org.gooseberryring.transport.endpoint.EndpointAttempt;
import org.gooseberryring.transport.endpoint.EndpointCall;
import org.xnio.IoUtils;

/** Handles requests that hosts of other failure domains have authenticated, admitted and claimed. */
public final class RelayHandler implements HttpHandler {
    private static final HttpString PRIORITY = new HttpString("X-Request-Priority");
    private static final HttpString SALT = new HttpString("X-Cache-Salt");

    private final HostSettings settings;
    private final OpenRequests openRequests;
    private final RequestIntake intake;
    private final RequestLoop loop;
    private final LongSupplier clock;
    private final RelayAuthenticator authenticator;

    /** Creates a handler; the clocks return monotonic milliseconds and milliseconds since the Unix epoch. */
    public RelayHandler(
            HostSettings settings,
            OpenRequests openRequests,
            RequestIntake intake,
            RequestLoop loop,
            LongSupplier clock,
            LongSupplier wallClock) {
        this.settings = settings;
        this.openRequests = openRequests;
        this.intake = intake;
        this.loop = loop;
        this.clock = clock;
        this.authenticator = new RelayAuthenticator(settings::peerSecret, wallClock);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String headerId = exchange.getRequestHeaders().getFirst(EndpointAttempt.REQUEST_ID);
        String id = headerId == null ? "" : headerId;
        exchange.getResponseHeaders().put(EndpointAttempt.REQUEST_ID, id);
        if (!openRequests.tryAcquire()) {
            ProblemWriter.write(
                    exchange,
                    id,
                    Refusal.retry(
                            ErrorCode.OVERLOADED,
                            RequestIntake.BUSY_RETRY_MILLIS,
                            "This host accepts no more requests"));
            return;
        }
        exchange.addExchangeCompleteListener((e, next) -> {
            openRequests.release();
            next.proceed();
        });
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(settings.limits().maxBodyBytes());
        receiver.receiveFullBytes((e, body) -> handleBody(e, id, body), (e, failure) -> {
            IoUtils.safeClose(e.getConnection());
            e.endExchange();
        });
    }

    private void handleBody(HttpServerExchange exchange, String id, byte[] body) {
        try {
            OpenRequest request = createRequest(exchange, id, body);
            intake.accept(exchange, request, loop::relayed);
        } catch (RefusedException e) {
            ProblemWriter.write(exchange, id, e.refusal());
        }
    }

    private OpenRequest createRequest(HttpServerExchange exchange, String id, byte[] body) {
        String method = exchange.getRequestMethod().toString();
        String path = RelayAuthenticator.path(exchange);
        HeaderMap headers = exchange.getRequestHeaders();
        RelayHead head = authenticator.authenticate(exchange, body);
        if (!head.requestId().equals(id) || !head.endpoint().isEmpty()) {
            throw new RefusedException(
                    Refusal.of(ErrorCode.UNAUTHENTICATED, "The request does not come from an authenticated host"));
        }
        boolean model = head.service().isEmpty();
        JsonNode completion = model ? completion(body) : null;
        RequestTarget target = model
                ? new RequestTarget.ModelTarget(artifact(completion))
                : new RequestTarget.ServiceTarget(head.service());
        String owner = head.organisation();
        RequestSpec spec = new RequestSpec(
                id,
                owner.isEmpty() ? null : owner,
                target,
                head.priorityClass(),
                0,
                0,
                Digests.hex(owner, method + " " + path, HexFormat.of().formatHex(Digests.sha256(body))),
                head.idempotent(),
                null,
                clock.getAsLong() + head.deadlineMillis());
        EndpointCall.Kind kind = model ? EndpointCall.Kind.MODEL_ENGINE : EndpointCall.Kind.PLAIN_SERVICE;
        boolean eventStream = model && ModelRequests.asksForEvents(completion);
        Destination destination = new Destination(target, kind, path, body, head.idempotent(), 0, "", eventStream);
        HeaderMap toEndpoint = HeaderRules.forEndpoint(headers);
        copy(headers, toEndpoint, PRIORITY);
        copy(headers, toEndpoint, SALT);
        return new OpenRequest(spec, destination, exchange, toEndpoint);
    }

    private static JsonNode completion(byte[] body) {
        try {
            return Json.readTree(body);
        } catch (GooseberryringException e) {
            throw withoutArtifact();
        }
    }

    private static Artifact artifact(JsonNode completion) {
        Artifact artifact = ArtifactNames.parse(completion.path("model").textValue());
        if (artifact == null) {
            throw withoutArtifact();
        }
        return artifact;
    }

    private static RefusedException withoutArtifact() {
        return new RefusedException(Refusal.of(ErrorCode.INVALID_REQUEST, "The body does not name an artifact"));
    }

    private static void copy(HeaderMap from, HeaderMap to, HttpString name) {
        String value = from.getFirst(name);
        if (value != null) {
            to.put(name, value);
        }
    }
}
