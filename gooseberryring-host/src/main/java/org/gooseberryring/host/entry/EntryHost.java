package org.gooseberryring.host.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.direct.LimitedRequest;
import org.gooseberryring.coordination.path.RelayFailure;
import org.gooseberryring.coordination.ratelimit.PermitRequest;
import org.gooseberryring.coordination.ratelimit.RateLimit;
import org.gooseberryring.coordination.request.RequestedArtifact;
import org.gooseberryring.coordination.residency.ResidencyController;
import org.gooseberryring.host.HostClock;
import org.gooseberryring.host.HostMetrics;
import org.gooseberryring.host.caller.CallerEffects;
import org.gooseberryring.host.caller.EndpointRelays;
import org.gooseberryring.host.caller.OpenRequests;
import org.gooseberryring.host.caller.RequestIntake;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.control.StoreCallExecutor;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.RequestLimits;
import org.gooseberryring.state.ServingConfiguration;
import org.gooseberryring.transport.endpoint.EndpointClient;
import org.gooseberryring.transport.endpoint.EndpointLimits;
import org.gooseberryring.transport.endpoint.EventNumberings;
import org.gooseberryring.transport.endpoint.RelayedEndpointProtocol;
import org.gooseberryring.transport.http.ConnectionCheck;
import org.gooseberryring.transport.http.HttpCaller;
import org.gooseberryring.transport.http.HttpWorker;
import org.jboss.logging.Logger;

/** Entry host of a deployment, with its threads, clients and listeners. */
public final class EntryHost implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(EntryHost.class);
    private static final int IO_THREADS = 1;
    private static final int TASK_THREADS = 1;
    private static final int CONTROL_RING_SIZE = 1_024;
    private static final int STORE_RING_SIZE = 64;
    private static final int MAX_OPEN_REQUESTS = 1_000;
    private static final int SERVICE_CONNECTIONS = 64;
    private static final long TICK_MILLIS = 25;

    /** Ticks between two ticks of the request thread while requests are open. */
    private static final long BUSY_REQUEST_TICKS = 2;

    /** Ticks between two ticks of the request thread of an idle host, which only updates its limits and counts. */
    private static final long IDLE_REQUEST_TICKS = 10;

    /** Ticks between two ticks of the control thread, unless an order or permits are due sooner. */
    private static final long CONTROL_TICKS = 4;

    /** Limits of connections to endpoints; a connection within a region opens in a few milliseconds. */
    private static final EndpointLimits ENDPOINT_LIMITS = new EndpointLimits(1_000, 400, 600_000, 600_000, 0);

    private final HostClock clock = new HostClock();
    // A later process of the host has a higher incarnation unless the wall clock is set back.
    private final long incarnation = clock.wallMillis();
    private final PauseWatch pauses = new PauseWatch(clock.now());
    private final HostMetrics metrics = new HostMetrics();
    private final DeploymentView view = new DeploymentView();
    private final EndpointSignalHandler signalHandler = new EndpointSignalHandler(
            view, this::onEndpointLeaving, this::onBackOff, rateReceiver(), this::setBrittle, clock::now);
    private final OpenRequests open = new OpenRequests(MAX_OPEN_REQUESTS);
    private final CountDownLatch closed = new CountDownLatch(1);
    private final HttpWorker worker;
    private final IoThreadDelays ioDelays;
    private final ControlLoop control;
    private final PathChecker pathChecker;
    private final EntryRequests requests;
    private final StoreCallExecutor storeExecutor;
    private final PeerExchange exchange;
    private final PeerNotices notices;
    private final PeerMesh mesh;
    private final StoreEpochs epochs = new StoreEpochs();
    private final PermittedCalls calls = new PermittedCalls();
    private final RateLimitControl rateLimits;
    private final EndpointChecks checks;
    private final VerdictControl verdicts;
    private final LimitUseControl limitUse;
    private final StreamControl streams;
    private final ResidencyControl residency;
    private final DeploymentFeeds feeds;
    private final ScheduledExecutorService timer;
    private final FrontListener callerListener;
    private final RelayListener relayListener;
    private final FrontListener readiness;
    private final FrontListener metricsListener;
    private volatile EntrySettings settings;
    private volatile DrainSchedule drainSchedule;
    private long ticks;

    private EntryHost(EntrySettings settings, Function<PlatformAccess, Deployment> platform) {
        this.settings = settings;
        worker = HttpWorker.start(settings.hostId(), IO_THREADS, TASK_THREADS);
        ioDelays = IoThreadDelays.start(worker, clock::now);
        Deployment deployment = platform.apply(new PlatformAccess(new HttpCaller(worker), clock::now));
        control = new ControlLoop(CONTROL_RING_SIZE, clock::now);
        storeExecutor = new StoreCallExecutor(deployment.objects(), STORE_RING_SIZE);
        SplittableRandom random =
                new SplittableRandom(incarnation ^ settings.hostId().hashCode());
        ResidencyController controller = new ResidencyController(settings.failureDomain());
        EndpointOrders orders = orders(deployment);
        pathChecker = pathChecker();
        requests = requests(deployment);
        exchange = new PeerExchange(settings, incarnation, control, requests, controller, open::count, clock.now());
        notices = new PeerNotices(control, exchange);
        mesh = new PeerMesh(settings, incarnation, storeExecutor, control, metrics, exchange, epochs, random.split());
        checks = new EndpointChecks(view, orders, calls, control, exchange, mesh);
        verdicts = new VerdictControl(settings.hostId(), storeExecutor, control, requests, exchange, epochs);
        limitUse = new LimitUseControl(settings, storeExecutor, control, requests, exchange, epochs);
        streams = new StreamControl(
                settings.hostId(), deployment.streams(), storeExecutor, control, requests, exchange, epochs);
        residency = residency(controller, orders, random.split());
        rateLimits = rateLimits(controller);
        feeds = new DeploymentFeeds(
                deployment,
                control,
                view,
                requests,
                controller,
                mesh,
                this::onConfigurationAdopted,
                rateLimits,
                exchange,
                epochs,
                settings,
                random,
                clock.now());
        connectControl();
        registerGauges();
        control.start();
        requests.loop().start();
        RequestLimits limits = view.configuration().limits();
        callerListener = new FrontListener(
                worker,
                settings.callerAddress(),
                settings.maxConnections(),
                limits,
                frontHandler(deployment.callerProtocol(), random.split()));
        relayListener = relayListener(deployment);
        readiness = new FrontListener(
                worker, settings.readyAddress(), SERVICE_CONNECTIONS, limits, new ReadinessHandler(this::isReady));
        metricsListener = settings.metricsPort() == 0
                ? null
                : new FrontListener(
                        worker, metricsAddress(), SERVICE_CONNECTIONS, limits, new MetricsHandler(metrics.registry()));
        timer = Executors.newSingleThreadScheduledExecutor(EntryHost::timerThread);
        timer.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        logStart();
    }

    /**
     * Starts a host.
     *
     * @param platform creates the deployment, which uses the HTTP caller and the clock of the host
     */
    public static EntryHost start(EntrySettings settings, Function<PlatformAccess, Deployment> platform) {
        return new EntryHost(settings, platform);
    }

    /** Returns whether the host can serve: its view of the deployment is complete and it is not stopping. */
    public boolean isReady() {
        return drainSchedule == null && view.isComplete();
    }

    /** Returns the number of registered endpoints that the host knows. */
    public int endpointCount() {
        return view.endpointCount();
    }

    /** Applies the settings that may change while the host runs: the shutdown time and the retry allowance of services. */
    public void reconfigure(EntrySettings changed) {
        requests.setRetryAllowance(changed.retries());
        settings = changed;
    }

    /** Completes the requests in flight and stops; blocks at most for the shutdown time of the settings. */
    public void drain() {
        DrainSchedule schedule = DrainSchedule.afterSignal(pauses, clock.now(), settings.shutdownMillis());
        drainSchedule = schedule;
        control.put(now -> residency.stopAcquiring());
        new EntryDrain(schedule, open, callerListener, closed, clock::now)
                .run(requests::refuseWaiting, requests::endRunning, this::close);
    }

    /** Stops immediately. */
    @Override
    public synchronized void close() {
        if (closed.getCount() == 0) {
            return;
        }
        closed.countDown();
        timer.shutdownNow();
        callerListener.close();
        relayListener.close();
        readiness.close();
        if (metricsListener != null) {
            metricsListener.close();
        }
        mesh.close();
        requests.loop().close();
        control.close();
        storeExecutor.close();
        ioDelays.close();
        worker.close();
        LogLine.event("host-stopped").with("host", settings.hostId()).info(LOG);
    }

    private EndpointOrders orders(Deployment deployment) {
        return new LoggedEndpointOrders(
                deployment.orders(settings.hostId(), signalHandler::handle),
                process -> signalHandler.limit(process).isLimited());
    }

    private ResidencyControl residency(ResidencyController controller, EndpointOrders orders, RandomGenerator random) {
        return new ResidencyControl(
                settings,
                controller,
                storeExecutor,
                control,
                orders,
                calls,
                view,
                exchange,
                epochs,
                clock::wallMillis,
                random);
    }

    private RateLimitControl rateLimits(ResidencyController controller) {
        return new RateLimitControl(
                settings,
                view,
                signalHandler,
                requests,
                calls,
                controller,
                exchange,
                mesh,
                clock::wallMillis,
                clock.now());
    }

    private void logStart() {
        LogLine.event("host-started")
                .with("host", settings.hostId())
                .with("failureDomain", settings.failureDomain())
                .with("callers", callerListener.address())
                .info(LOG);
    }

    /** Connects the components of the control thread; must be called before the thread starts. */
    private void connectControl() {
        exchange.connect(mesh, residency::onArtifactRequested, feeds, rateLimits, checks.peers());
        control.onTick(checks.peers()::tick);
        control.onStoreTick(feeds::tick);
        control.onTick(mesh::tick);
        control.onTick(exchange::tick);
        control.onTick(verdicts::tick);
        control.onTick(limitUse::tick);
        control.onTick(streams::tick);
        control.onTick(residency::tick);
        control.onTick(rateLimits::tick);
    }

    private EntryRequests requests(Deployment deployment) {
        CrashProbe probe = new CrashProbe(
                view,
                (endpoint, path) -> checks().isAlive(endpoint, path),
                (process, attempt) -> requests().onEndpointCrashed(process, attempt),
                process -> signalHandler.isBackingOff(process, clock.now()));
        CallerEffects effects = new CallerEffects(
                open,
                view::endpoint,
                new EndpointClient(worker, ENDPOINT_LIMITS, deployment.endpointProtocol()),
                metrics,
                new EntryRemoteEffects(
                        crash -> notices().spreadRequestCrash(crash),
                        event -> notices().spreadPartEvent(event),
                        stream -> notices().spreadStream(stream),
                        () -> streams().read()),
                null,
                endpointRelays(deployment),
                new EntryGate(
                        pathListener(),
                        (endpoint, target) -> requests().onMissingArtifact(endpoint, target),
                        probe::probe,
                        view,
                        signalHandler,
                        clock::now),
                deployment.callerProtocol().calls());
        return new EntryRequests(settings, effects, requestListener(), incarnation, clock::now);
    }

    private PathChecker pathChecker() {
        return new PathChecker(
                view,
                new ConnectionCheck(worker),
                ENDPOINT_LIMITS.connectMillis(),
                (endpoint, connected) -> requests().onPathChecked(endpoint, connected));
    }

    private RelayListener relayListener(Deployment deployment) {
        return new RelayListener(
                settings,
                deployment,
                view,
                signalHandler,
                worker,
                ENDPOINT_LIMITS,
                open,
                mesh::secret,
                exchange::reach,
                metrics,
                ioDelays::waitMillis,
                clock::now,
                clock::wallMillis);
    }

    private EndpointRelays endpointRelays(Deployment deployment) {
        RelayedEndpointProtocol protocol = new RelayedEndpointProtocol(deployment.endpointProtocol());
        return new EndpointRelays(
                host -> requests().relayAddress(host),
                () -> mesh().secret(),
                new EndpointClient(worker, ENDPOINT_LIMITS, protocol),
                new SplittableRandom(incarnation),
                clock::now,
                clock::wallMillis);
    }

    private EntryGate.PathListener pathListener() {
        return new EntryGate.PathListener() {
            @Override
            public void onConnectFailed(String endpoint) {
                requests.onConnectFailed(endpoint);
            }

            @Override
            public void onRelayFailed(String host, String endpoint, RelayFailure failure) {
                requests.onRelayFailed(host, endpoint, failure);
            }
        };
    }

    private RequestListener requestListener() {
        LimitedRequestLog limitedLog = new LimitedRequestLog(metrics);
        return new RequestListener() {
            @Override
            public void onArtifactsMissing(List<RequestedArtifact> artifacts) {
                exchange.requestArtifacts(artifacts);
            }

            @Override
            public void onPermitsNeeded(List<PermitRequest> permitRequests) {
                control.offer(now -> rateLimits.request(permitRequests, now));
            }

            @Override
            public void onPathCheckNeeded(String endpoint) {
                pathChecker.check(endpoint);
            }

            @Override
            public void onLimited(LimitedRequest request) {
                limitedLog.accept(request);
            }
        };
    }

    private EndpointSignalHandler.RateReceiver rateReceiver() {
        return new EndpointSignalHandler.RateReceiver() {
            @Override
            public void onStated(EndpointProcess process, double requestsPerSecond) {
                control.put(now -> rateLimits.onStated(process, requestsPerSecond, now));
            }

            @Override
            public void onNotStated(EndpointProcess process, RateLimit knownWhenSent) {
                control.put(now -> rateLimits.onNotStated(process, knownWhenSent, now));
            }
        };
    }

    /** Returns the request thread, for callbacks that are created before it. */
    private EntryRequests requests() {
        return requests;
    }

    /** Returns the checks of endpoints, for callbacks that are created before them. */
    private EndpointChecks checks() {
        return checks;
    }

    /** Returns the links to the other hosts, for callbacks that are created before them. */
    private PeerMesh mesh() {
        return mesh;
    }

    private void onEndpointLeaving(EndpointProcess process) {
        control.put(now -> feeds.onEndpointLeaving(process));
    }

    private void setBrittle(EndpointProcess process, boolean brittle) {
        requests.setBrittle(process, brittle);
    }

    private void onBackOff(EndpointProcess process, long until) {
        requests.backOff(process, until);
    }

    /** Returns the notices, for callbacks that are created before them. */
    private PeerNotices notices() {
        return notices;
    }

    /** Returns the reader of streams, for callbacks that are created before it. */
    private StreamControl streams() {
        return streams;
    }

    private FrontHandler frontHandler(CallerProtocol protocol, RandomGenerator random) {
        return new FrontHandler(
                view,
                protocol,
                new RequestFactory(protocol, open, random, new EventNumberings()),
                worker.budget().requests(),
                open,
                new RequestIntake(open, requests.loop()),
                requests::submit,
                metrics,
                () -> drainSchedule,
                ioDelays::waitMillis,
                clock::now);
    }

    private void onConfigurationAdopted(ServingConfiguration configuration) {
        callerListener.limits(configuration.limits());
    }

    private void registerGauges() {
        metrics.gauge("configuration.version", () -> view.configuration().version());
        metrics.gauge("endpoints", view::endpointCount);
        metrics.gauge("endpoints.limited", rateLimits::limitedCount);
        metrics.gauge(
                "endpoints.unreachable", () -> exchange.reach().unreachable().size());
        metrics.gauge("store.epoch", epochs::newest);
        metrics.gauge("requests.open", open::count);
        metrics.gauge(
                "buffered.requests.bytes", () -> worker.budget().requests().heldBytes());
        metrics.gauge("ring.requests.depth", () -> requests.loop().depth());
        metrics.gauge("ring.control.depth", control::depth);
        metrics.gauge("ring.control.delay.ms", control::delayMillis);
        metrics.gauge("io.thread.delay.ms", ioDelays::delayMillis);
        metrics.gauge("configuration.confirmed.age.ms", () -> view.configurationAgeMillis(clock.now()));
    }

    private InetSocketAddress metricsAddress() {
        return new InetSocketAddress(settings.callerAddress().getAddress(), settings.metricsPort());
    }

    private void tick() {
        try {
            ticks++;
            pauses.tick(clock.now());
            if (ticks % (open.count() > 0 ? BUSY_REQUEST_TICKS : IDLE_REQUEST_TICKS) == 0) {
                requests.loop().tick();
            }
            if (ticks % CONTROL_TICKS == 0) {
                control.tick();
                return;
            }
            if (residency.isDue()) {
                control.offer(residency::tick);
            }
            if (rateLimits.limitedCount() > 0) {
                control.offer(rateLimits::tick);
            }
        } catch (RuntimeException e) {
            LogLine.event("timer-failure").error(LOG, e);
        }
    }

    private static Thread timerThread(Runnable task) {
        Thread thread = new Thread(task, "timer");
        thread.setDaemon(true);
        return thread;
    }
}
