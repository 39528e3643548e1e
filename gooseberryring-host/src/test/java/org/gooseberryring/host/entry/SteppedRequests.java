package org.gooseberryring.host.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.gooseberryring.coordination.crash.CrashingParts;
import org.gooseberryring.coordination.direct.DirectRouter;
import org.gooseberryring.coordination.direct.PermittedChoice;
import org.gooseberryring.coordination.limit.SharedLimits;
import org.gooseberryring.coordination.path.EndpointPaths;
import org.gooseberryring.coordination.queue.QueueSettings;
import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.FairRequestQueue;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestEngine;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.retry.CrashSuspects;
import org.gooseberryring.coordination.retry.RetryAllowance;
import org.gooseberryring.coordination.retry.RouteRetries;
import org.gooseberryring.coordination.stream.StreamVersions;
import org.gooseberryring.host.HostMetrics;
import org.gooseberryring.host.caller.CallerEffects;
import org.gooseberryring.host.caller.Destination;
import org.gooseberryring.host.caller.OpenRequest;
import org.gooseberryring.host.caller.OpenRequests;
import org.gooseberryring.host.caller.ProblemWriter;
import org.gooseberryring.host.caller.RemoteEffects;
import org.gooseberryring.host.caller.RequestIntake;
import org.gooseberryring.host.caller.ResponseFormat;
import org.gooseberryring.host.caller.ResponseHeaderPolicy;
import org.gooseberryring.host.engine.AttemptGate;
import org.gooseberryring.host.engine.AttemptPath;
import org.gooseberryring.host.engine.LimiterInputs;
import org.gooseberryring.host.engine.RequestInput;
import org.gooseberryring.host.engine.RequestLoop;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.RequestLimits;
import org.gooseberryring.state.RouteTable;
import org.gooseberryring.state.ServiceProfile;
import org.gooseberryring.state.ServingConfiguration;
import org.gooseberryring.transport.endpoint.CallDeadline;
import org.gooseberryring.transport.endpoint.EndpointCall;
import org.gooseberryring.transport.endpoint.EndpointClient;
import org.gooseberryring.transport.endpoint.EndpointLimits;
import org.gooseberryring.transport.endpoint.EventCursor;
import org.gooseberryring.transport.http.HttpWorker;

/** Path of requests from callers to endpoints whose time, and whose request thread, the test controls. */
final class SteppedRequests implements AutoCloseable {
    static final RequestTarget TARGET = new RequestTarget.RoutedTarget("s", null, null);

    private static final RequestLimits LIMITS = new RequestLimits(16_384, 1_000_000, 3_000, 15_000);
    private static final int TIMEOUT_SECONDS = 5;

    private final AtomicLong now = new AtomicLong();
    private final Map<String, Endpoint> endpoints = new ConcurrentHashMap<>();
    private final Map<String, RequestSpec> specs = new ConcurrentHashMap<>();
    private final Map<String, EventCursor> cursors = new ConcurrentHashMap<>();
    private final OpenRequests open = new OpenRequests(100);
    private final HttpWorker worker = HttpWorker.start("stepped", 1, 1);
    private final DirectRouter router =
            new DirectRouter("a", new PermittedChoice(new Random(1)), new EndpointPaths("a", new Random(2)));
    private final RequestLoop loop;
    private final RequestIntake intake;
    private final FrontListener listener;

    SteppedRequests() {
        StreamVersions versions = new StreamVersions();
        versions.setRegistryCurrent(true);
        RequestEngine engine = new RequestEngine(
                new SharedLimits(8_000),
                new FairRequestQueue(QueueSettings.defaults()),
                router,
                new RouteRetries(new RetryAllowance(10_000, 0.2, 54)),
                CrashSuspects.isolating(),
                new CrashingParts("h"),
                versions,
                600_000);
        CallerEffects effects = new CallerEffects(
                open,
                endpoints::get,
                new EndpointClient(worker, new EndpointLimits(100, 1_000, 600_000, 600_000, 0)),
                new HostMetrics(),
                new NoRemoteEffects(),
                null,
                null,
                new OpenGate(),
                this::call);
        loop = new RequestLoop(1_024, engine, new NoLimiter(), effects, now::get).start();
        effects.connect(loop);
        intake = new RequestIntake(open, loop);
        configure();
        listener = new FrontListener(worker, new InetSocketAddress("127.0.0.1", 0), 100, LIMITS, this::handle);
    }

    int port() {
        return listener.address().getPort();
    }

    /** Sets what is known of the requests for a path. */
    void route(String path, RequestSpec spec) {
        specs.put(path, spec);
    }

    /** Sets that the responses for a path are read as events. */
    void readEvents(String path, EventCursor cursor) {
        cursors.put(path, cursor);
    }

    /** Adds an endpoint with the given number of slots. */
    void register(String id, ControlledEndpoint endpoint, int slots) throws InterruptedException {
        endpoints.put(id, new Endpoint(id, EndpointKind.SERVICE, "a", endpoint.address(), 0, slots, true, false));
        put((engine, at) -> {
            router.onEndpointRegistered(
                    new EndpointRegistration(id, "s", endpoint.address(), "a", slots, false, 0, 0, List.of()), at);
            return engine.changed(at);
        });
        settle();
    }

    /** Queues an event of the request thread. */
    void put(RequestInput input) {
        loop.put(input);
    }

    /** Queues a tick of the request thread, and sets the time in milliseconds. */
    void tickAt(long millis) {
        now.set(millis);
        loop.tick();
    }

    /** Holds the request thread until the returned latch is counted down; the events after that wait. */
    CountDownLatch hold() throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        loop.after(() -> {
            held.countDown();
            await(released);
        });
        await(held);
        return released;
    }

    /** Waits until the request thread has handled all queued events, and the I/O thread what they caused. */
    void settle() throws InterruptedException {
        CountDownLatch handled = new CountDownLatch(1);
        loop.after(() -> worker.xnio().getIoThread().execute(handled::countDown));
        await(handled);
    }

    @Override
    public void close() {
        listener.close();
        loop.close();
        worker.close();
    }

    private void handle(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        RequestSpec spec = specs.get(path);
        Destination destination =
                new Destination(spec.target(), EndpointCall.Kind.PLAIN_SERVICE, path, new byte[0], false, 0, "", false);
        ResponseFormat format = new ResponseFormat(ResponseHeaderPolicy.STANDARD, ProblemWriter::write);
        OpenRequest request = new OpenRequest(spec, destination, exchange, new HeaderMap(), format, cursors.get(path));
        intake.accept(exchange, request, loop::arrived);
    }

    private EndpointCall call(OpenRequest request, Endpoint endpoint) {
        return new EndpointCall(
                request.spec().id(),
                request.method(),
                request.destination().path(),
                request.headers(),
                request.destination().body(),
                EndpointCall.Kind.PLAIN_SERVICE,
                false,
                request.events(),
                EndpointCall.MAX_RESPONSE_BYTES,
                false,
                CallDeadline.NONE);
    }

    private void configure() {
        TreeMap<String, ServiceProfile> services = new TreeMap<>();
        services.put("s", new ServiceProfile("s", "/h", 100, 0, 0, null));
        loop.put((engine, at) -> {
            router.configured(new ServingConfiguration(
                    1, new RouteTable(List.of()), services, new TreeMap<>(), Map.of(), LIMITS));
            return List.of();
        });
    }

    private static void await(CountDownLatch latch) {
        try {
            if (!latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError("a thread of the host does not go on");
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static final class NoLimiter implements LimiterInputs {
        @Override
        public void tick(long now) {}

        @Override
        public void settle(RequestEngine engine, Consumer<RequestEffect> effects, long now) {}
    }

    private static final class OpenGate implements AttemptGate {
        @Override
        public BooleanSupplier mayStart(RequestSpec spec, String endpoint) {
            return () -> true;
        }

        @Override
        public AttemptOutcome attemptEnded(RequestSpec spec, AttemptPath path, AttemptOutcome outcome) {
            return outcome;
        }
    }

    private static final class NoRemoteEffects implements RemoteEffects {
        @Override
        public void claim(OpenRequest request, RequestEffect.Claim claim) {}

        @Override
        public void settle(OpenRequest request, RequestEffect.SettleClaim settle) {}

        @Override
        public void replay(OpenRequest request) {}

        @Override
        public void spreadRequestCrash(RequestEffect.SpreadRequestCrash effect) {}

        @Override
        public void cancelAtEngine(String address, String requestId) {}
    }
}
