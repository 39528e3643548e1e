package org.gooseberryring.host;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.undertow.server.handlers.BlockingHandler;
import org.gooseberryring.host.admin.AdminHandler;
import org.gooseberryring.host.admin.OperatorAuthenticator;
import org.gooseberryring.host.admin.StatusDocument;
import org.gooseberryring.host.caller.Authenticator;
import org.gooseberryring.host.caller.CallerEffects;
import org.gooseberryring.host.caller.CallerHandler;
import org.gooseberryring.host.caller.LocalLinks;
import org.gooseberryring.host.caller.OpenRequests;
import org.gooseberryring.host.caller.RequestIds;
import org.gooseberryring.host.config.AuditTrail;
import org.gooseberryring.host.config.ConfigurationChanger;
import org.gooseberryring.host.config.ConfigurationFollower;
import org.gooseberryring.host.config.ConfigurationHolder;
import org.gooseberryring.host.config.SimpleEditor;
import org.gooseberryring.host.engine.MinimalEngine;
import org.gooseberryring.host.engine.RequestLoop;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.host.settings.HostSettings;
import org.gooseberryring.transport.endpoint.EndpointClient;
import org.gooseberryring.transport.endpoint.EndpointLimits;
import org.gooseberryring.transport.http.HttpCaller;
import org.gooseberryring.transport.http.HttpWorker;
import org.gooseberryring.transport.store.HttpObjectStore;
import org.gooseberryring.transport.store.ObjectStore;
import org.jboss.logging.Logger;

/** One host: its threads, rings, clients and listeners. */
public final class Host implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Host.class);
    private static final int MAX_IO_THREADS = 8;
    private static final int TASK_THREADS = 8;
    private static final int ADMIN_CONNECTIONS = 256;
    private static final int MAX_RECORDED_BYTES = 64 * 1024;
    private static final long TICK_MILLIS = 10;

    private final HostSettings settings;
    private final HostClock clock = new HostClock();
    private final long incarnation = new SecureRandom().nextLong();
    private final HttpWorker worker;
    private final ConfigurationHolder holder = new ConfigurationHolder();
    private final ConfigurationFollower follower;
    private final Authenticator authenticator;
    private final OpenRequests open;
    private final RequestLoop loop;
    private final HostMetrics metrics = new HostMetrics();
    private final ScheduledExecutorService timer;
    private final HttpListener callers;
    private final HttpListener admin;
    private final CountDownLatch closed = new CountDownLatch(1);

    private Host(HostSettings settings) {
        this.settings = settings;
        int ioThreads = Math.min(MAX_IO_THREADS, Runtime.getRuntime().availableProcessors());
        worker = HttpWorker.start(settings.hostId(), ioThreads, TASK_THREADS);
        HttpCaller caller = new HttpCaller(worker);
        HostSettings.Timeouts timeouts = settings.timeouts();
        ObjectStore store = new HttpObjectStore(caller, settings.platformUri(), timeouts.storeMillis());
        open = new OpenRequests(settings.limits().maxOpenRequests());
        authenticator = new Authenticator(holder, settings.keyGraceSeconds(), clock::now);
        CallerEffects effects = new CallerEffects(
                open, holder, new EndpointClient(worker, endpointLimits()), metrics, new LocalLinks(caller));
        loop = new RequestLoop(settings.limits().requestRingSize(), new MinimalEngine(), effects, clock::now);
        effects.connect(loop);
        holder.onAdopted(next -> loop.put((engine, now) -> engine.configured(next, now)));
        follower = new ConfigurationFollower(store, holder, timeouts, clock::now, incarnation);
        timer = Executors.newSingleThreadScheduledExecutor(r -> {
            Thread thread = new Thread(r, "timer");
            thread.setDaemon(true);
            return thread;
        });
        RequestIds ids = new RequestIds(settings.hostId(), incarnation);
        registerGauges();
        loop.start();
        follower.start();
        timer.scheduleAtFixedRate(
                () -> loop.offer((engine, now) -> engine.tick(now)), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        callers = HttpListener.start(
                worker,
                settings.callerAddress(),
                settings.limits().maxConnections(),
                new CallerHandler(settings, holder, authenticator, ids, open, loop, metrics, clock::now));
        admin = HttpListener.start(
                worker, settings.adminAddress(), ADMIN_CONNECTIONS, new BlockingHandler(adminHandler(store, ids)));
        LogLine.event("host-started")
                .with("host", settings.hostId())
                .with("callers", callers.address())
                .with("admin", admin.address())
                .info(LOG);
    }

    /** Starts a host. */
    public static Host start(HostSettings settings) {
        return new Host(settings);
    }

    /** Returns the address that serves callers, with the port in use. */
    public InetSocketAddress callerAddress() {
        return callers.address();
    }

    /** Returns the address of the administration interface, with the port in use. */
    public InetSocketAddress adminAddress() {
        return admin.address();
    }

    public ConfigurationHolder configuration() {
        return holder;
    }

    /** Returns whether the host takes new requests. */
    public boolean ready() {
        return !open.draining() && holder.current().revision() > 0 && authenticator.fresh();
    }

    /** Finishes the requests in flight and stops; blocks for as long as the settings allow. */
    public void drain() {
        LogLine.event("drain-started").with("open", open.count()).info(LOG);
        open.drain();
        try {
            closed.await(settings.timeouts().drainNoticeMillis(), TimeUnit.MILLISECONDS);
            boolean done = open.awaitNone(settings.timeouts().drainLimitMillis());
            LogLine.event("drain-ended")
                    .with("complete", done)
                    .with("open", open.count())
                    .info(LOG);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    /** Stops at once. */
    @Override
    public void close() {
        closed.countDown();
        follower.close();
        timer.shutdownNow();
        callers.close();
        admin.close();
        loop.close();
        worker.close();
    }

    private AdminHandler adminHandler(ObjectStore store, RequestIds ids) {
        AuditTrail audit = new AuditTrail(store);
        ConfigurationChanger changer =
                new ConfigurationChanger(store, holder, audit, SimpleEditor::apply, clock::wallMillis);
        OperatorAuthenticator operators = new OperatorAuthenticator(settings.operatorTokens());
        return new AdminHandler(operators, ids, holder, changer, audit, metrics, this::ready, this::status);
    }

    private EndpointLimits endpointLimits() {
        HostSettings.Timeouts timeouts = settings.timeouts();
        return new EndpointLimits(
                settings.limits().maxEndpointConnections(),
                timeouts.connectMillis(),
                timeouts.firstByteMillis(),
                timeouts.idleMillis(),
                MAX_RECORDED_BYTES);
    }

    private void registerGauges() {
        metrics.gauge("configuration.revision", () -> holder.current().revision());
        metrics.gauge("configuration.fresh", () -> authenticator.fresh() ? 1 : 0);
        metrics.gauge("requests.open", open::count);
        metrics.gauge("ring.requests.depth", loop::depth);
    }

    private StatusDocument status() {
        long confirmedAt = holder.confirmedAt();
        return new StatusDocument(
                settings.hostId(),
                settings.failureDomain(),
                Long.toHexString(incarnation),
                ready(),
                open.draining(),
                holder.current().revision(),
                authenticator.fresh(),
                confirmedAt == 0 ? -1 : clock.now() - confirmedAt,
                open.count(),
                new TreeMap<>());
    }
}
