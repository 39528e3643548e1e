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

/** Serves operators, health checks and metrics; runs on threads that may block. */
public final class AdminHandler implements HttpHandler {
    private static final Logger LOG = Logger.getLogger(AdminHandler.class);
    private static final HttpString CHANGE_ID = new HttpString("X-Change-Id");
    private static final String CHANGE_ID_FORM = "[A-Za-z0-9._:-]{1,100}";
    private static final String JSON = "application/json";
    private static final int MAX_BODY_BYTES = 4_000_000;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final long STORE_RETRY_MILLIS = 2000;

    private final OperatorAuthenticator authenticator;
    private final RequestIds ids;
    private final CurrentConfiguration holder;
    private final ConfigurationChanger changer;
    private final AuditTrail audit;
    private final HostMetrics metrics;
    private final BooleanSupplier ready;
    private final Supplier<StatusDocument> status;

    /** Creates a handler. */
    public AdminHandler(
            OperatorAuthenticator authenticator,
            RequestIds ids,
            CurrentConfiguration holder,
            ConfigurationChanger changer,
            AuditTrail audit,
            HostMetrics metrics,
            BooleanSupplier ready,
            Supplier<StatusDocument> status) {
        this.authenticator = authenticator;
        this.ids = ids;
        this.holder = holder;
        this.changer = changer;
        this.audit = audit;
        this.metrics = metrics;
        this.ready = ready;
        this.status = status;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws IOException {
        String id = ids.next();
        exchange.getResponseHeaders().put(EndpointAttempt.REQUEST_ID, id);
        String path = exchange.getRequestPath();
        switch (path) {
            case "/healthz" -> answer(exchange, OK, "text/plain", "ok\n".getBytes(StandardCharsets.UTF_8));
            case "/readyz" -> {
                boolean isReady = ready.getAsBoolean();
                byte[] text = (isReady ? "ready\n" : "not ready\n").getBytes(StandardCharsets.UTF_8);
                answer(exchange, isReady ? OK : UNAVAILABLE, "text/plain", text);
            }
            case "/metrics" ->
                answer(
                        exchange,
                        OK,
                        PrometheusText.MEDIA_TYPE,
                        PrometheusText.render(metrics.registry()).getBytes(StandardCharsets.UTF_8));
            default -> operate(exchange, id, path);
        }
    }

    private void operate(HttpServerExchange exchange, String id, String path) throws IOException {
        String operator = authenticator.operator(exchange.getRequestHeaders());
        if (operator == null) {
            refuse(exchange, id, Refusal.of(ErrorCode.UNAUTHENTICATED, "An operator token is required"));
            return;
        }
        try {
            switch (exchange.getRequestMethod() + " " + path) {
                case "GET /admin/v1/configuration" -> configuration(exchange);
                case "GET /admin/v1/status" -> answer(exchange, OK, JSON, Json.write(status.get()));
                case "GET /admin/v1/audit" -> audit(exchange, id);
                case "POST /admin/v1/plan" -> plan(exchange);
                case "POST /admin/v1/changes" -> change(exchange, id, operator);
                default -> refuse(exchange, id, Refusal.of(ErrorCode.NOT_FOUND, "There is no such route"));
            }
        } catch (GooseberryringException e) {
            refuse(exchange, id, new Refusal(e.code(), e.verdict(), 0, e.getMessage()));
        }
    }

    private void configuration(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(Headers.ETAG, "\"" + holder.current().revision() + "\"");
        answer(exchange, OK, JSON, Json.write(holder.current()));
    }

    private void audit(HttpServerExchange exchange, String id) {
        var values = exchange.getQueryParameters().get("after");
        String after = values == null ? "0" : values.getFirst();
        if (!after.matches("[0-9]{1,18}")) {
            throw new GooseberryringException(ErrorCode.INVALID_REQUEST, "after must be a revision");
        }
        try {
            answer(exchange, OK, JSON, Json.write(audit.after(Long.parseLong(after))));
        } catch (AuditTrail.StoreFailedException e) {
            refuse(exchange, id, unavailable(Verdict.NOT_RUN));
        }
    }

    private void plan(HttpServerExchange exchange) throws IOException {
        ChangeRequest request = Json.read(body(exchange), ChangeRequest.class);
        List<Change> changes = request.changes();
        EditResult result = changer.preview(holder.current(), changes);
        if (result instanceof EditResult.Accepted accepted) {
            answer(exchange, OK, JSON, Json.write(PlanDocument.of(holder.current(), accepted.configuration())));
        } else {
            faults(exchange, ((EditResult.Refused) result).faults());
        }
    }

    private void change(HttpServerExchange exchange, String id, String operator) throws IOException {
        long expected = expectedRevision(exchange);
        String changeId = exchange.getRequestHeaders().getFirst(CHANGE_ID);
        if (changeId == null || !changeId.matches(CHANGE_ID_FORM)) {
            throw new GooseberryringException(ErrorCode.INVALID_REQUEST, "X-Change-Id must match " + CHANGE_ID_FORM);
        }
        ChangeRequest request = Json.read(body(exchange), ChangeRequest.class);
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
        answerChange(exchange, id, changeId, result);
    }

    private void answerChange(HttpServerExchange exchange, String id, String changeId, CommitResult result) {
        if (result instanceof CommitResult.Committed committed) {
            exchange.getResponseHeaders().put(Headers.ETAG, "\"" + committed.revision() + "\"");
            answer(exchange, OK, JSON, Json.write(Map.of("revision", committed.revision(), "changeId", changeId)));
        } else if (result instanceof CommitResult.Conflict conflict) {
            exchange.getResponseHeaders().put(Headers.ETAG, "\"" + conflict.currentRevision() + "\"");
            String detail = "The current revision is " + conflict.currentRevision();
            refuse(exchange, id, Refusal.of(ErrorCode.REVISION_CONFLICT, detail));
        } else if (result instanceof CommitResult.Refused refused) {
            faults(exchange, refused.faults());
        } else {
            boolean unknown = result instanceof CommitResult.Unresolved;
            refuse(exchange, id, unavailable(unknown ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN));
        }
    }

    private void faults(HttpServerExchange exchange, List<?> faults) {
        ErrorCode code = ErrorCode.INVALID_CONFIGURATION;
        Map<String, Object> document = Map.of(
                "code", code.wireName(),
                "status", code.httpStatus(),
                "verdict", Verdict.NOT_RUN.wireName(),
                "faults", faults);
        answer(exchange, code.httpStatus(), "application/problem+json", Json.write(document));
    }

    /** Names the authenticated operator, with the person whom the request names if that is another. */
    private static String actor(String operator, ChangeRequest request) {
        String named = request.actor();
        return named == null || named.equals(operator) ? operator : operator + " for " + named;
    }

    private static long expectedRevision(HttpServerExchange exchange) {
        String tag = exchange.getRequestHeaders().getFirst(Headers.IF_MATCH);
        if (tag == null || !tag.matches("\"?[0-9]{1,18}\"?")) {
            throw new GooseberryringException(ErrorCode.INVALID_REQUEST, "If-Match must be the revision seen");
        }
        return Long.parseLong(tag.replace("\"", ""));
    }

    private static byte[] body(HttpServerExchange exchange) throws IOException {
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

    private static void answer(HttpServerExchange exchange, int statusCode, String type, byte[] body) {
        exchange.setStatusCode(statusCode);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }
}
