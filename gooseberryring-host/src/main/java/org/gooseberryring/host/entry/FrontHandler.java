package org.gooseberryring.host.entry;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.host.HostMetrics;
import org.gooseberryring.host.caller.BodyReceiver;
import org.gooseberryring.host.caller.Digests;
import org.gooseberryring.host.caller.HeaderRules;
import org.gooseberryring.host.caller.OpenRequests;
import org.gooseberryring.host.caller.RawTarget;
import org.gooseberryring.host.caller.Refusal;
import org.gooseberryring.host.caller.RefusedException;
import org.gooseberryring.host.caller.RequestIntake;
import org.gooseberryring.host.caller.ResponseProgress;
import org.gooseberryring.host.caller.SocketWait;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.state.ApiKey;
import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.OrganisationTerms;
import org.gooseberryring.state.Route;
import org.gooseberryring.state.ServingConfiguration;
import org.gooseberryring.transport.http.SharedRoom;
import org.jboss.logging.Logger;
import org.xnio.IoUtils;

/** Accepts callers' requests, checks them against the configuration and submits them to the request thread. */
final class FrontHandler implements HttpHandler {
    private static final Logger LOG = Logger.getLogger(FrontHandler.class);
    private static final String DURATION = "request.duration";

    /** Logged in place of the status if the caller left before its response started. */
    private static final int NO_RESPONSE = 0;

    private static final String BUSY = "Too many requests are open on this host";
    private static final String NOT_CONFIGURED = "This host has not loaded the state of the deployment yet";
    private static final String STOPPING = "This host is shutting down";
    private static final String NO_ROOM = "This host has no memory for the body now";
    private static final String TOO_OLD = "The request reached this host too late to be answered in time";
    private static final String LATE_BODY = "The body did not arrive in time";
    private static final String NO_ROUTE = "There is no such route";
    private static final String NO_KEY = "The key is missing or unknown";

    private final DeploymentView view;
    private final CallerProtocol protocol;
    private final RequestFactory factory;
    private final SharedRoom bodyRoom;
    private final OpenRequests open;
    private final RequestIntake intake;
    private final Predicate<RequestSpec> requests;
    private final HostMetrics metrics;
    private final Supplier<DrainSchedule> drain;
    private final SocketWait socketWait;
    private final LongSupplier clock;

    /**
     * Creates a handler.
     *
     * @param bodyRoom room for the bodies of all requests
     * @param requests submits a request to the request thread; returns false if its ring buffer has no room for new work
     * @param drain schedule of the shutdown of this host, null if it does not stop
     * @param socketWait how long a request may have waited before it is read
     * @param clock monotonic milliseconds
     */
    FrontHandler(
            DeploymentView view,
            CallerProtocol protocol,
            RequestFactory factory,
            SharedRoom bodyRoom,
            OpenRequests open,
            RequestIntake intake,
            Predicate<RequestSpec> requests,
            HostMetrics metrics,
            Supplier<DrainSchedule> drain,
            SocketWait socketWait,
            LongSupplier clock) {
        this.view = view;
        this.protocol = protocol;
        this.factory = factory;
        this.bodyRoom = bodyRoom;
        this.open = open;
        this.intake = intake;
        this.requests = requests;
        this.metrics = metrics;
        this.drain = drain;
        this.socketWait = socketWait;
        this.clock = clock;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        Arrival arrival = null;
        try {
            HeaderRules.checkFraming(exchange.getRequestHeaders());
            RequestHead head = protocol.head(exchange.getRequestHeaders());
            long now = clock.getAsLong();
            arrival = new Arrival(head, now - socketWait.millis(exchange.getIoThread(), now), now);
            accept(exchange, arrival, now);
        } catch (RefusedException e) {
            refuse(exchange, arrival, e.refusal());
        }
    }

    private void accept(HttpServerExchange exchange, Arrival arrival, long now) {
        ServingConfiguration configuration = view.configuration();
        if (!view.isComplete()) {
            throw refusal(ErrorCode.CONFIGURATION_STALE, NOT_CONFIGURED);
        }
        Admitted admitted = admit(exchange, arrival.head(), configuration);
        if (arrival.isTooOld(admitted.route(), now)) {
            throw refusal(ErrorCode.DEADLINE_UNREACHABLE, TOO_OLD);
        }
        if (isTooLate(arrival, admitted.route(), now)) {
            throw refusal(ErrorCode.SHUTTING_DOWN, STOPPING);
        }
        if (!open.tryAcquire()) {
            throw open.isDraining() ? refusal(ErrorCode.SHUTTING_DOWN, STOPPING) : refusal(ErrorCode.OVERLOADED, BUSY);
        }
        exchange.addExchangeCompleteListener((done, next) -> {
            open.release();
            logEnd(done, arrival, admitted);
            next.proceed();
        });
        readBody(exchange, arrival, admitted, configuration);
    }

    /** Returns whether this host stops and a request may not end before it. */
    private boolean isTooLate(Arrival arrival, Route route, long now) {
        DrainSchedule schedule = drain.get();
        if (schedule == null) {
            return false;
        }
        return !schedule.accepts(route.repeatable(), arrival.latestDeadline(route), now);
    }

    private static Admitted admit(HttpServerExchange exchange, RequestHead head, ServingConfiguration configuration) {
        RawTarget target = RawTarget.of(exchange);
        Route route = configuration.routes().find(head.hostName(), target.path());
        if (route == null) {
            throw new RefusedException(Refusal.of(ErrorCode.NOT_FOUND, NO_ROUTE));
        }
        OrganisationTerms terms = null;
        if (!route.open()) {
            terms = organisation(head.key(), configuration);
            if (terms == null) {
                throw new RefusedException(Refusal.of(ErrorCode.UNAUTHENTICATED, NO_KEY));
            }
        }
        return new Admitted(route, terms, target);
    }

    private static OrganisationTerms organisation(String key, ServingConfiguration configuration) {
        if (key == null) {
            return null;
        }
        String digest = Digests.hex(key);
        ApiKey known = configuration.keys().get(digest);
        return known == null ? null : configuration.organisations().get(known.organisation());
    }

    private void readBody(
            HttpServerExchange exchange, Arrival arrival, Admitted admitted, ServingConfiguration configuration) {
        BodyReceiver.Outcome outcome = new BodyReceiver.Outcome() {
            @Override
            public void onBody(byte[] body) {
                logResumption(arrival.head());
                intake.accept(exchange, factory.create(exchange, arrival, admitted, body), requests);
            }

            @Override
            public void onFailure(IOException failure) {
                onBodyFailed(exchange, arrival, failure, configuration);
            }

            @Override
            public void onTimeout() {
                logUnreadBody(arrival, "timeout");
                refuse(exchange, arrival, Refusal.of(ErrorCode.DEADLINE_UNREACHABLE, LATE_BODY));
            }

            @Override
            public void onNoRoom() {
                FrontHandler.this.onNoRoom(exchange, arrival, admitted);
            }
        };
        new BodyReceiver(
                        exchange,
                        bodyRoom,
                        admitted.owner(),
                        configuration.limits().bodyBytes(),
                        admitted.route().timeoutMillis(),
                        outcome)
                .start();
    }

    private void onNoRoom(HttpServerExchange exchange, Arrival arrival, Admitted admitted) {
        metrics.counter("bodies.without-room").inc();
        LogLine.event("body-without-room")
                .with("requestId", arrival.head().requestId())
                .with("organisation", admitted.owner())
                .with("heldBytes", bodyRoom.heldBytes())
                .info(LOG);
        refuse(exchange, arrival, Refusal.retry(ErrorCode.OVERLOADED, RequestIntake.BUSY_RETRY_MILLIS, NO_ROOM));
    }

    private void onBodyFailed(
            HttpServerExchange exchange, Arrival arrival, IOException failure, ServingConfiguration configuration) {
        if (failure instanceof Receiver.RequestToLargeException) {
            String detail = "The body is larger than " + configuration.limits().bodyBytes() + " bytes";
            refuse(exchange, arrival, Refusal.of(ErrorCode.BODY_TOO_LARGE, detail));
            return;
        }
        metrics.refused("truncated-body");
        logUnreadBody(arrival, failure.getMessage());
        IoUtils.safeClose(exchange.getConnection());
        exchange.endExchange();
    }

    /** Logs a request whose body was not received completely. The request has not run. */
    private static void logUnreadBody(Arrival arrival, String reason) {
        LogLine.event("body-not-read")
                .with("requestId", arrival.head().requestId())
                .with("reason", reason)
                .info(LOG);
    }

    private void refuse(HttpServerExchange exchange, Arrival arrival, Refusal refusal) {
        metrics.refused(refusal.code().wireName());
        LogLine.event("request-rejected")
                .with("requestId", arrival == null ? null : arrival.head().requestId())
                .with("code", refusal.code().wireName())
                .with("configuration", view.configuration().version())
                .with("confirmedMs", view.configurationAgeMillis(clock.getAsLong()))
                .with("path", exchange.getRequestURI())
                .info(LOG);
        if (arrival == null) {
            // Bytes after a malformed head cannot be distinguished from its body, so the connection is not reused.
            exchange.setPersistent(false);
        }
        String id = arrival == null ? "" : arrival.head().requestId();
        protocol.responseFormat().refusals().write(exchange, id, refusal);
    }

    private static void logResumption(RequestHead head) {
        if (head.lastEventId().isPresent()) {
            LogLine.event("stream-resumed")
                    .with("requestId", head.requestId())
                    .with("resumes", head.resumedRequest())
                    .with("lastEventId", head.lastEventId().getAsLong())
                    .info(LOG);
        }
    }

    private void logEnd(HttpServerExchange exchange, Arrival arrival, Admitted admitted) {
        long millis = clock.getAsLong() - arrival.at();
        ResponseProgress progress = ResponseProgress.of(exchange);
        metrics.timer(DURATION).update(millis, TimeUnit.MILLISECONDS);
        LogLine.event("request-ended")
                .with("requestId", arrival.head().requestId())
                .with("route", admitted.route().id())
                .with("configuration", view.configuration().version())
                .with("status", exchange.isResponseStarted() ? exchange.getStatusCode() : NO_RESPONSE)
                .with("whole", isWhole(exchange))
                .with("response", progress == null ? null : progress.state().logName())
                .with("startedMs", progress == null ? null : progress.startedMillis())
                .with("socketMs", arrival.socketMillis() == 0 ? null : arrival.socketMillis())
                .with("ms", millis)
                .info(LOG);
        if (progress != null) {
            metrics.counter("responses." + progress.state().logName()).inc();
        }
    }

    /** Returns whether the caller was sent a complete response or a refusal. */
    private static boolean isWhole(HttpServerExchange exchange) {
        ResponseProgress progress = ResponseProgress.of(exchange);
        boolean isEnded = progress == null || progress.state().isEnd();
        return isEnded && exchange.isResponseComplete();
    }

    private static RefusedException refusal(ErrorCode code, String detail) {
        return new RefusedException(Refusal.retry(code, RequestIntake.BUSY_RETRY_MILLIS, detail));
    }

    /**
     * Request whose head has been parsed.
     *
     * @param head head of the request
     * @param at earliest time at which the request may have reached the socket, in monotonic milliseconds
     * @param readAt time at which its head was read, in monotonic milliseconds
     */
    record Arrival(RequestHead head, long at, long readAt) {
        /** Returns the milliseconds for which the request may have waited in the socket. */
        long socketMillis() {
            return readAt - at;
        }

        /** Returns the earliest time at which the caller may leave. */
        long deadline(Route route) {
            return at + head.waitMillis(route);
        }

        /** Returns the time at which the caller has left, up to which a response that has started may last. */
        long latestDeadline(Route route) {
            return deadline(route) + socketMillis();
        }

        /** Returns the last time at which the response may start. */
        long lastStart(Route route) {
            return Math.min(deadline(route), RequestFactory.responseStartDeadline(route, at));
        }

        /** Returns whether the caller may have left before the request could run. */
        boolean isTooOld(Route route, long now) {
            return now >= lastStart(route);
        }
    }

    /**
     * Request that the configuration permits.
     *
     * @param route route of the request
     * @param terms organisation of the caller, null on an open route
     * @param requestTarget path and query of the request
     */
    record Admitted(Route route, OrganisationTerms terms, RawTarget requestTarget) {
        /** Returns the organisation that the request belongs to, an empty string on an open route. */
        String owner() {
            return terms == null ? "" : terms.organisation().id();
        }
    }
}
