package org.gooseberryring.host.caller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.host.HostMetrics;
import org.gooseberryring.host.config.CurrentConfiguration;
import org.gooseberryring.host.engine.RequestLoop;
import org.gooseberryring.host.settings.HostSettings;
import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.Organisation;
import org.gooseberryring.state.PriorityClass;
import org.gooseberryring.transport.endpoint.EndpointAttempt;
import org.gooseberryring.transport.endpoint.EndpointCall;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/** Authenticates and validates callers' requests and passes them to the request thread. */
public final class CallerHandler implements HttpHandler {
    private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    private static final HttpString DEADLINE = new HttpString("X-Request-Deadline-Ms");
    private static final HttpString PRIORITY = new HttpString("X-Priority-Class");
    private static final String OPEN_ROUTE = "";
    private static final int MAX_IDEMPOTENCY_KEY_CHARS = 255;
    private static final long MAX_DEADLINE_MILLIS = 86_400_000;
    private static final long BUSY_RETRY_MILLIS = RequestIntake.BUSY_RETRY_MILLIS;

    private final HostSettings settings;
    private final CurrentConfiguration currentConfiguration;
    private final Authenticator authenticator;
    private final RequestIds ids;
    private final OpenRequests openRequests;
    private final RequestIntake intake;
    private final RequestLoop loop;
    private final HostMetrics metrics;
    private final LongSupplier clock;

    /** Creates a handler; {@code clock} returns monotonic milliseconds. */
    public CallerHandler(
            HostSettings settings,
            CurrentConfiguration currentConfiguration,
            Authenticator authenticator,
            RequestIds ids,
            OpenRequests openRequests,
            RequestIntake intake,
            RequestLoop loop,
            HostMetrics metrics,
            LongSupplier clock) {
        this.settings = settings;
        this.currentConfiguration = currentConfiguration;
        this.authenticator = authenticator;
        this.ids = ids;
        this.openRequests = openRequests;
        this.intake = intake;
        this.loop = loop;
        this.metrics = metrics;
        this.clock = clock;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String id = ids.next();
        exchange.getResponseHeaders().put(EndpointAttempt.REQUEST_ID, id);
        try {
            accept(exchange, id);
        } catch (RefusedException e) {
            refuse(exchange, id, e.refusal());
        }
    }

    private void accept(HttpServerExchange exchange, String id) {
        if (openRequests.isDraining()) {
            exchange.setPersistent(false);
            throw new RefusedException(
                    Refusal.retry(ErrorCode.SHUTTING_DOWN, BUSY_RETRY_MILLIS, "This host is shutting down"));
        }
        HeaderRules.check(exchange.getRequestHeaders(), exchange.getQueryParameters());
        if (!openRequests.tryAcquire()) {
            throw new RefusedException(
                    Refusal.retry(ErrorCode.OVERLOADED, BUSY_RETRY_MILLIS, "Too many requests are open on this host"));
        }
        exchange.addExchangeCompleteListener((e, next) -> {
            openRequests.release();
            next.proceed();
        });
        // Refuses invalid requests before the body is read; the check is repeated once the body has arrived.
        Caller caller = identify(exchange);
        if (caller.listsModels()) {
            ModelList.write(exchange, currentConfiguration.current());
            return;
        }
        readBody(exchange, id);
    }

    private Caller identify(HttpServerExchange exchange) {
        FleetConfiguration configuration = currentConfiguration.current();
        RawTarget target = RawTarget.of(exchange);
        String path = target.path();
        HeaderMap headers = exchange.getRequestHeaders();
        if (path.startsWith(ServicePath.PREFIX)) {
            ServicePath service = ServicePath.parse(path, configuration);
            Organisation organisation = service.isOpen() ? null : authenticator.authenticate(headers, configuration);
            return new Caller(configuration, organisation, target, service, false);
        }
        Organisation organisation = authenticator.authenticate(headers, configuration);
        String method = exchange.getRequestMethod().toString();
        boolean listsModels = method.equals("GET") && path.equals("/v1/models");
        boolean completion =
                method.equals("POST") && (path.equals("/v1/chat/completions") || path.equals("/v1/completions"));
        if (!listsModels && !completion) {
            throw new RefusedException(Refusal.of(ErrorCode.NOT_FOUND, "There is no such route"));
        }
        return new Caller(configuration, organisation, target, null, listsModels);
    }

    private void readBody(HttpServerExchange exchange, String id) {
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(settings.limits().maxBodyBytes());
        XnioExecutor.Key timer = exchange.getIoThread()
                .executeAfter(
                        () -> IoUtils.safeClose(exchange.getConnection()),
                        settings.timeouts().bodyMillis(),
                        TimeUnit.MILLISECONDS);
        receiver.receiveFullBytes(
                (e, bytes) -> {
                    timer.remove();
                    handleBody(e, id, bytes);
                },
                (e, failure) -> {
                    timer.remove();
                    handleBodyFailure(e, id, failure);
                });
    }

    private void handleBodyFailure(HttpServerExchange exchange, String id, IOException failure) {
        if (failure instanceof Receiver.RequestToLargeException) {
            String detail = "The body is larger than " + settings.limits().maxBodyBytes() + " bytes";
            refuse(exchange, id, Refusal.of(ErrorCode.BODY_TOO_LARGE, detail));
            return;
        }
        metrics.refused("truncated-body");
        IoUtils.safeClose(exchange.getConnection());
        exchange.endExchange();
    }

    private void handleBody(HttpServerExchange exchange, String id, byte[] body) {
        try {
            OpenRequest request = createRequest(exchange, id, body);
            intake.accept(exchange, request, loop::arrived);
        } catch (RefusedException e) {
            refuse(exchange, id, e.refusal());
        }
    }

    private OpenRequest createRequest(HttpServerExchange exchange, String id, byte[] body) {
        Caller caller = identify(exchange);
        String method = exchange.getRequestMethod().toString();
        Destination destination = caller.service() == null
                ? ModelRequests.read(caller.target().path(), body, caller.configuration())
                : serviceDestination(caller, method, body);
        HeaderMap headers = exchange.getRequestHeaders();
        String organisation =
                caller.organisation() == null ? null : caller.organisation().id();
        String owner = organisation == null ? OPEN_ROUTE : organisation;
        String digest = Digests.ofRequest(owner, method + " " + destination.target() + destination.path(), body);
        RequestSpec spec = new RequestSpec(
                id,
                organisation,
                destination.target(),
                priority(headers, caller.organisation()),
                destination.costTokens(),
                prefixHash(owner, destination.prefix()),
                digest,
                destination.idempotent(),
                idempotencyKey(headers),
                clock.getAsLong() + deadlineMillis(headers));
        HeaderMap toEndpoint = HeaderRules.forEndpoint(headers);
        if (destination.kind() == EndpointCall.Kind.MODEL_ENGINE) {
            toEndpoint.put(
                    new HttpString("X-Request-Priority"),
                    spec.priorityClass().name().toLowerCase(Locale.ROOT));
            // The salt prevents one organisation from probing the prompts of another through the prefix cache.
            toEndpoint.put(new HttpString("X-Cache-Salt"), Digests.hex("cache-salt", owner));
        }
        return new OpenRequest(spec, destination, exchange, toEndpoint);
    }

    private static Destination serviceDestination(Caller caller, String method, byte[] body) {
        ServicePath path = caller.service();
        return new Destination(
                new RequestTarget.ServiceTarget(path.route().id()),
                EndpointCall.Kind.PLAIN_SERVICE,
                new RawTarget(path.subpath(), caller.target().query()).pathAndQuery(),
                body,
                path.isIdempotent(method),
                0,
                "",
                false);
    }

    private void refuse(HttpServerExchange exchange, String id, Refusal refusal) {
        metrics.refused(refusal.code().wireName());
        ProblemWriter.write(exchange, id, refusal);
    }

    private long deadlineMillis(HeaderMap headers) {
        String text = headers.getFirst(DEADLINE);
        if (text == null) {
            return settings.timeouts().deadlineMillis();
        }
        if (!text.matches("[0-9]{1,9}") || Long.parseLong(text) < 1 || Long.parseLong(text) > MAX_DEADLINE_MILLIS) {
            throw invalid("X-Request-Deadline-Ms must be from 1 to " + MAX_DEADLINE_MILLIS);
        }
        return Long.parseLong(text);
    }

    private static PriorityClass priority(HeaderMap headers, Organisation organisation) {
        List<PriorityClass> allowed =
                organisation == null ? List.of(PriorityClass.NORMAL) : organisation.priorityClasses();
        String text = headers.getFirst(PRIORITY);
        if (text == null) {
            return allowed.get(0);
        }
        for (PriorityClass c : PriorityClass.values()) {
            if (c.name().toLowerCase(Locale.ROOT).equals(text)) {
                if (!allowed.contains(c)) {
                    throw new RefusedException(
                            Refusal.of(ErrorCode.FORBIDDEN, "The organisation may not use this priority class"));
                }
                return c;
            }
        }
        throw invalid("X-Priority-Class must be high, normal or batch");
    }

    private static String idempotencyKey(HeaderMap headers) {
        String key = headers.getFirst(IDEMPOTENCY_KEY);
        if (key != null && (key.isBlank() || key.length() > MAX_IDEMPOTENCY_KEY_CHARS)) {
            throw invalid("Idempotency-Key must have from 1 to " + MAX_IDEMPOTENCY_KEY_CHARS + " characters");
        }
        return key;
    }

    private static long prefixHash(String owner, String prefix) {
        if (prefix.isEmpty()) {
            return 0;
        }
        byte[] digest = Digests.sha256(owner.getBytes(StandardCharsets.UTF_8), prefix.getBytes(StandardCharsets.UTF_8));
        return java.nio.ByteBuffer.wrap(digest).getLong() | 1;
    }

    private static RefusedException invalid(String detail) {
        return new RefusedException(Refusal.of(ErrorCode.INVALID_REQUEST, detail));
    }

    private record Caller(
            FleetConfiguration configuration,
            Organisation organisation,
            RawTarget target,
            ServicePath service,
            boolean listsModels) {}
}
