package org.gooseberryring.host.admin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.gooseberryring.coordination.config.ChangeSubmission;
import org.gooseberryring.coordination.config.CommitResult;
import org.gooseberryring.coordination.config.EditResult;
import org.gooseberryring.host.HostMetrics;
import org.gooseberryring.host.caller.ProblemWriter;
import org.gooseberryring.host.caller.Refusal;
import org.gooseberryring.host.caller.RequestIds;
import org.gooseberryring.host.config.AuditTrail;
import org.gooseberryring.host.config.ConfigurationChanger;
import org.gooseberryring.host.config.CurrentConfiguration;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.protocol.ChangeRequest;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.Change;
import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.GooseberryringException;
import org.gooseberryring.state.Verdict;
import org.gooseberryring.transport.endpoint.EndpointAttempt;
import org.jboss.logging.Logger;

/** Serves operators, health checks and metrics; must run on threads that may block. */
public final class AdminHandler implements HttpHandler {
    private static final Logger LOG = Logger.getLogger(AdminHandler.class);
    private static final HttpString CHANGE_ID = new HttpString("X-Change-Id");
    private static final String CHANGE_ID_PATTERN = "[A-Za-z0-9._:-]{1,100}";
    private static final String JSON = "application/json";
    private static final int MAX_BODY_BYTES = 4_000_000;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final long STORE_RETRY_MILLIS = 2000;

    private final OperatorAuthenticator authenticator;
    private final RequestIds ids;
    private final CurrentConfiguration currentConfiguration;
    private final ConfigurationChanger changer;
    private final AuditTrail auditTrail;
    private final HostMetrics metrics;
    private final BooleanSupplier readiness;
    private final Supplier<StatusDocument> status;

    /** Creates a handler. */
    public AdminHandler(
            OperatorAuthenticator authenticator,
            RequestIds ids,
            CurrentConfiguration currentConfiguration,
            ConfigurationChanger changer,
            AuditTrail auditTrail,
            HostMetrics metrics,
            BooleanSupplier readiness,
            Supplier<StatusDocument> status) {
        this.authenticator = authenticator;
        this.ids = ids;
        this.currentConfiguration = currentConfiguration;
        this.changer = changer;
        this.auditTrail = auditTrail;
        this.metrics = metrics;
        this.readiness = readiness;
        this.status = status;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws IOException {
        String id = ids.next();
        exchange.getResponseHeaders().put(EndpointAttempt.REQUEST_ID, id);
        String path = exchange.getRequestPath();
        switch (path) {
            case "/healthz" -> respond(exchange, OK, "text/plain", "ok\n".getBytes(StandardCharsets.UTF_8));
            case "/readyz" -> {
                boolean isReady = readiness.getAsBoolean();
                byte[] text = (isReady ? "ready\n" : "not ready\n").getBytes(StandardCharsets.UTF_8);
                respond(exchange, isReady ? OK : UNAVAILABLE, "text/plain", text);
            }
            case "/metrics" ->
                respond(
                        exchange,
                        OK,
                        PrometheusText.MEDIA_TYPE,
                        PrometheusText.render(metrics.registry()).getBytes(StandardCharsets.UTF_8));
            default -> handleOperatorRequest(exchange, id, path);
        }
    }

    private void handleOperatorRequest(HttpServerExchange exchange, String id, String path) throws IOException {
        String operator = authenticator.operator(exchange.getRequestHeaders());
        if (operator == null) {
            refuse(exchange, id, Refusal.of(ErrorCode.UNAUTHENTICATED, "An operator token is required"));
            return;
        }
        try {
            switch (exchange.getRequestMethod() + " " + path) {
                case "GET /admin/v1/configuration" -> sendConfiguration(exchange);
                case "GET /admin/v1/status" -> respond(exchange, OK, JSON, Json.write(status.get()));
                case "GET /admin/v1/audit" -> sendAuditRecords(exchange, id);
                case "POST /admin/v1/plan" -> sendPlan(exchange);
                case "POST /admin/v1/changes" -> commitChange(exchange, id, operator);
                default -> refuse(exchange, id, Refusal.of(ErrorCode.NOT_FOUND, "There is no such route"));
            }
        } catch (GooseberryringException e) {
            refuse(exchange, id, new Refusal(e.code(), e.verdict(), 0, e.getMessage()));
        }
    }

    private void sendConfiguration(HttpServerExchange exchange) {
        exchange.getResponseHeaders()
                .put(Headers.ETAG, "\"" + currentConfiguration.current().revision() + "\"");
        respond(exchange, OK, JSON, Json.write(currentConfiguration.current()));
    }

    private void sendAuditRecords(HttpServerExchange exchange, String id) {
        var values = exchange.getQueryParameters().get("after");
        String after = values == null ? "0" : values.getFirst();
        if (!after.matches("[0-9]{1,18}")) {
            throw new GooseberryringException(ErrorCode.INVALID_REQUEST, "after must be a revision");
        }
        try {
            respond(exchange, OK, JSON, Json.write(auditTrail.after(Long.parseLong(after))));
        } catch (AuditTrail.StoreFailedException e) {
            refuse(exchange, id, unavailable(Verdict.NOT_RUN));
        }
    }

    private void sendPlan(HttpServerExchange exchange) throws IOException {
        ChangeRequest request = Json.read(readBody(exchange), ChangeRequest.class);
        List<Change> changes = request.changes();
        EditResult result = changer.preview(currentConfiguration.current(), changes);
        if (result instanceof EditResult.Accepted accepted) {
            respond(
                    exchange,
                    OK,
                    JSON,
                    Json.write(PlanDocument.of(currentConfiguration.current(), accepted.configuration())));
        } else {
            respondWithFaults(exchange, ((EditResult.Refused) result).faults());
        }
    }

    private void commitChange(HttpServerExchange exchange, String id, String operator) throws IOException {
        long expected = expectedRevision(exchange);
        String changeId = exchange.getRequestHeaders().getFirst(CHANGE_ID);
        if (changeId == null || !changeId.matches(CHANGE_ID_PATTERN)) {
            throw new GooseberryringException(ErrorCode.INVALID_REQUEST, "X-Change-Id must match " + CHANGE_ID_PATTERN);
        }
        ChangeRequest request = Json.read(readBody(exchange), ChangeRequest.class);
        CommitResult result;
        try {
            result = changer.change(new ChangeSubmission(
                    changeId,
                    expected,
                    actor(operator, request),
                    request.cause(),
                    request.changes(),
                    System.currentTimeMillis()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            result = new CommitResult.Unresolved();
        }
        LogLine.event("change")
                .with("requestId", id)
                .with("changeId", changeId)
                .with("operator", operator)
                .with("outcome", result.getClass().getSimpleName())
                .with("cause", request.cause())
                .info(LOG);
        respondToChange(exchange, id, changeId, result);
    }

    private void respondToChange(HttpServerExchange exchange, String id, String changeId, CommitResult result) {
        if (result instanceof CommitResult.Committed committed) {
            exchange.getResponseHeaders().put(Headers.ETAG, "\"" + committed.revision() + "\"");
            respond(exchange, OK, JSON, Json.write(Map.of("revision", committed.revision(), "changeId", changeId)));
        } else if (result instanceof CommitResult.Conflict conflict) {
            exchange.getResponseHeaders().put(Headers.ETAG, "\"" + conflict.currentRevision() + "\"");
            String detail = "The current revision is " + conflict.currentRevision();
            refuse(exchange, id, Refusal.of(ErrorCode.REVISION_CONFLICT, detail));
        } else if (result instanceof CommitResult.Refused refused) {
            respondWithFaults(exchange, refused.faults());
        } else {
            boolean unknown = result instanceof CommitResult.Unresolved;
            refuse(exchange, id, unavailable(unknown ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN));
        }
    }

    private void respondWithFaults(HttpServerExchange exchange, List<?> faults) {
        ErrorCode code = ErrorCode.INVALID_CONFIGURATION;
        Map<String, Object> document = Map.of(
                "code", code.wireName(),
                "status", code.httpStatus(),
                "verdict", Verdict.NOT_RUN.wireName(),
                "faults", faults);
        respond(exchange, code.httpStatus(), "application/problem+json", Json.write(document));
    }

    /** Returns the authenticated operator, followed by the actor of the request if that is someone else. */
    private static String actor(String operator, ChangeRequest request) {
        String person = request.actor();
        return person == null || person.equals(operator) ? operator : operator + " for " + person;
    }

    private static long expectedRevision(HttpServerExchange exchange) {
        String tag = exchange.getRequestHeaders().getFirst(Headers.IF_MATCH);
        if (tag == null || !tag.matches("\"?[0-9]{1,18}\"?")) {
            throw new GooseberryringException(
                    ErrorCode.INVALID_REQUEST, "If-Match must be the revision that the change is based on");
        }
        return Long.parseLong(tag.replace("\"", ""));
    }

    private static byte[] readBody(HttpServerExchange exchange) throws IOException {
        exchange.startBlocking();
        byte[] bytes = exchange.getInputStream().readNBytes(MAX_BODY_BYTES + 1);
        if (bytes.length > MAX_BODY_BYTES) {
            throw new GooseberryringException(
                    ErrorCode.BODY_TOO_LARGE, "The body is larger than " + MAX_BODY_BYTES + " bytes");
        }
        return bytes;
    }

    private static Refusal unavailable(Verdict verdict) {
        return new Refusal(
                ErrorCode.STORE_UNAVAILABLE, verdict, STORE_RETRY_MILLIS, "The object store is not available");
    }

    private static void refuse(HttpServerExchange exchange, String id, Refusal refusal) {
        ProblemWriter.write(exchange, id, refusal);
    }

    private static void respond(HttpServerExchange exchange, int statusCode, String type, byte[] body) {
        exchange.setStatusCode(statusCode);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }
}
