package org.gooseberryring.host.caller;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.gooseberryring.host.HostMetrics;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.Verdict;
import org.gooseberryring.transport.endpoint.CallDeadline;
import org.gooseberryring.transport.endpoint.EndpointAttempt;
import org.gooseberryring.transport.endpoint.EndpointCall;
import org.gooseberryring.transport.endpoint.EndpointClient;
import org.gooseberryring.transport.endpoint.EndpointProtocol;
import org.gooseberryring.transport.endpoint.EndpointSignals;
import org.gooseberryring.transport.http.IoTimeout;
import org.gooseberryring.transport.http.SharedRoom;
import org.jboss.logging.Logger;
import org.xnio.IoUtils;

/**
 * Passes requests of other hosts, which do not reach an endpoint, on to it.
 *
 * <p>The host that sends a request decides and counts everything: the endpoint, limits, retries and evidence. This one
 * sends it once, and passes the response on unchanged or states whether the request may have run.
 */
public final class EndpointRelayHandler implements HttpHandler {
    private static final Logger LOG = Logger.getLogger(EndpointRelayHandler.class);
    private static final long BUSY_RETRY_MILLIS = 500;

    /** Time for receiving a body, which the sender has complete. */
    private static final long MAX_BODY_MILLIS = 2_000;

    /** Owner of the bodies of other hosts, whose organisations are not known; no organisation has this name. */
    private static final String BODY_OWNER = "#relayed";

    private final RelayAuthenticator authenticator;
    private final SharedRoom bodyRoom;
    private final OpenRequests openRequests;
    private final EndpointClient client;
    private final EndpointProtocol protocol;
    private final Targets targets;
    private final ResponseHeaderPolicy responseHeaders;
    private final IntSupplier maxBodyBytes;
    private final HostMetrics metrics;
    private final SocketWait socketWait;
    private final LongSupplier clock;
    private final int maxRelayed;
    private final AtomicInteger relayed = new AtomicInteger();

    /** Looks up the endpoints to which this host passes requests on. */
    public interface Targets {
        /**
         * Returns the address of an endpoint as {@code ip:port}.
         *
         * @throws RefusedException if this host must not or cannot send requests to it
         */
        String address(String endpoint);

        /** Returns the consumer of the signals in the response of an endpoint, which concern this host as well. */
        Consumer<EndpointSignals> signals(String endpoint);
    }

    /**
     * Creates a handler.
     *
     * @param bodyRoom room for the bodies of all requests
     * @param openRequests counts the requests, so that a drain waits for them
     * @param client sends requests to endpoints
     * @param protocol protocol of the client
     * @param responseHeaders selects the headers of endpoint responses that are passed on
     * @param maxBodyBytes returns the maximum size of a body
     * @param socketWait how long a request may have waited before it is read
     * @param clock monotonic milliseconds
     * @param maxRelayed maximum number of requests of other hosts, so that those of this host's callers find room
     */
    public EndpointRelayHandler(
            RelayAuthenticator authenticator,
            SharedRoom bodyRoom,
            OpenRequests openRequests,
            EndpointClient client,
            EndpointProtocol protocol,
            Targets targets,
            ResponseHeaderPolicy responseHeaders,
            IntSupplier maxBodyBytes,
            HostMetrics metrics,
            SocketWait socketWait,
            LongSupplier clock,
            int maxRelayed) {
        this.authenticator = authenticator;
        this.bodyRoom = bodyRoom;
        this.openRequests = openRequests;
        this.client = client;
        this.protocol = protocol;
        this.targets = targets;
        this.responseHeaders = responseHeaders;
        this.maxBodyBytes = maxBodyBytes;
        this.metrics = metrics;
        this.socketWait = socketWait;
        this.clock = clock;
        this.maxRelayed = maxRelayed;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (relayed.get() >= maxRelayed || !openRequests.tryAcquire()) {
            ErrorCode code = openRequests.isDraining() ? ErrorCode.SHUTTING_DOWN : ErrorCode.OVERLOADED;
            refuse(exchange, Refusal.retry(code, BUSY_RETRY_MILLIS, "This host takes no requests of other hosts"));
            return;
        }
        relayed.incrementAndGet();
        exchange.addExchangeCompleteListener((e, next) -> {
            relayed.decrementAndGet();
            openRequests.release();
            next.proceed();
        });
        long now = clock.getAsLong();
        long arrivedAt = now - socketWait.millis(exchange.getIoThread(), now);
        BodyReceiver.Outcome outcome = outcome(exchange, arrivedAt);
        new BodyReceiver(exchange, bodyRoom, BODY_OWNER, maxBodyBytes.getAsInt(), MAX_BODY_MILLIS, outcome).start();
    }

    private BodyReceiver.Outcome outcome(HttpServerExchange exchange, long arrivedAt) {
        return new BodyReceiver.Outcome() {
            @Override
            public void onBody(byte[] body) {
                handleBody(exchange, body, arrivedAt);
            }

            @Override
            public void onFailure(IOException failure) {
                closeUnread(exchange, failure);
            }

            @Override
            public void onTimeout() {
                IoUtils.safeClose(exchange.getConnection());
            }

            @Override
            public void onNoRoom() {
                metrics.counter("bodies.without-room").inc();
                LogLine.event("body-without-room")
                        .with("organisation", BODY_OWNER)
                        .with("heldBytes", bodyRoom.heldBytes())
                        .info(LOG);
                refuse(exchange, Refusal.retry(ErrorCode.OVERLOADED, BUSY_RETRY_MILLIS, "No memory for the body"));
            }
        };
    }

    private void handleBody(HttpServerExchange exchange, byte[] body, long arrivedAt) {
        try {
            long now = clock.getAsLong();
            RelayHead head = authenticator.authenticate(exchange, body);
            String address = targets.address(head.endpoint());
            exchange.dispatch();
            new Relayed(exchange, head, arrivedAt + head.deadlineMillis()).start(address, body, now);
        } catch (RefusedException e) {
            refuse(exchange, e.refusal());
        }
    }

    private void refuse(HttpServerExchange exchange, Refusal refusal) {
        metrics.counter("relayed.refused." + refusal.code().wireName()).inc();
        ProblemWriter.write(exchange, "", refusal);
    }

    private static void closeUnread(HttpServerExchange exchange, IOException failure) {
        LogLine.event("relayed-body-not-read")
                .with("reason", failure.getMessage())
                .info(LOG);
        IoUtils.safeClose(exchange.getConnection());
        exchange.endExchange();
    }

    /** Request of another host that is sent to an endpoint; all its steps run on the I/O thread of its exchange. */
    private final class Relayed {
        private final HttpServerExchange exchange;
        private final RelayHead head;
        private final long deadline;
        private boolean ended;

        private Relayed(HttpServerExchange exchange, RelayHead head, long deadline) {
            this.exchange = exchange;
            this.head = head;
            this.deadline = deadline;
        }

        private void start(String address, byte[] body, long now) {
            CallerSink sink = new CallerSink(exchange, (from, to) -> {
                responseHeaders.copy(from, to);
                // Only a host states a verdict.
                to.remove(EndpointAttempt.VERDICT);
            });
            PassThroughListener listener = new PassThroughListener(targets.signals(head.endpoint()), this::onEnded);
            EndpointAttempt attempt =
                    client.send(address, call(body), exchange.getIoThread(), sink, listener, this::maySend);
            IoTimeout timer = IoTimeout.schedule(
                    exchange.getIoThread(), Math.max(1, deadline - now), () -> cancelUnstarted(attempt));
            exchange.addExchangeCompleteListener((e, next) -> {
                ended = true;
                timer.remove();
                attempt.cancel();
                next.proceed();
            });
            CallerWatch.start(exchange, () -> onDisconnect(attempt));
        }

        /** Cancels an attempt at its deadline; a response that has started is ended by the host that sent the request. */
        private static void cancelUnstarted(EndpointAttempt attempt) {
            if (!attempt.hasStarted()) {
                attempt.cancelNow();
            }
        }

        /** Returns whether the response is still of use; the sender may have left unread. */
        private boolean maySend() {
            return !ended && clock.getAsLong() < deadline && !CallerWatch.hasLeft(exchange.getConnection());
        }

        /** Cancels the attempt, because the host that sent the request needs no response any more. */
        private void onDisconnect(EndpointAttempt attempt) {
            ended = true;
            attempt.cancel();
            IoUtils.safeClose(exchange.getConnection());
            exchange.endExchange();
        }

        private EndpointCall call(byte[] body) {
            HeaderMap headers = new HeaderMap();
            exchange.getRequestHeaders().forEach(values -> headers.putAll(values.getHeaderName(), values));
            RelayHead.removeFrom(headers);
            return new EndpointCall(
                            headers.getFirst(protocol.requestIdHeader()),
                            exchange.getRequestMethod().toString(),
                            RelayAuthenticator.path(exchange),
                            headers,
                            body,
                            EndpointCall.Kind.PLAIN_SERVICE,
                            head.idempotent())
                    .withDeadline(new CallDeadline(deadline, clock, this::stateDeadline));
        }

        private void stateDeadline(HeaderMap headers, long leftMillis) {
            if (protocol.deadlineHeader() != null) {
                headers.put(protocol.deadlineHeader(), leftMillis);
            }
        }

        private void onEnded(Verdict verdict, boolean lost, boolean bytesPassedOn) {
            metrics.counter("relayed." + verdict.wireName()).inc();
            if (ended || verdict == Verdict.COMPLETED || bytesPassedOn) {
                return;
            }
            if (verdict == Verdict.NOT_RUN) {
                refuse(exchange, lost ? unreachable() : Refusal.retry(ErrorCode.OVERLOADED, BUSY_RETRY_MILLIS, ""));
            } else if (lost) {
                // The sender finds out from its broken connection whether the endpoint has crashed.
                IoUtils.safeClose(exchange.getConnection());
                exchange.endExchange();
            } else {
                refuse(exchange, new Refusal(ErrorCode.ENDPOINT_TIMEOUT, Verdict.MAY_HAVE_RUN, 0, ""));
            }
        }
    }

    /** Returns the refusal of a request for an endpoint that this host does not reach. */
    public static Refusal unreachable() {
        return Refusal.of(ErrorCode.ENDPOINT_UNREACHABLE, "This host does not reach the endpoint");
    }
}
