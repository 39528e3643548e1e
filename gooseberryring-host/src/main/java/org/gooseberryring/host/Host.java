package org.gooseberryring.host;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.undertow.server.handlers.BlockingHandler;
import org.gooseberryring.coordination.config.ConfigurationEditor;
import org.gooseberryring.coordination.config.FeedMember;
import org.gooseberryring.coordination.limit.KeeperIdentity;
import org.gooseberryring.coordination.limit.LimitSettings;
import org.gooseberryring.coordination.limit.TokenPool;
import org.gooseberryring.coordination.placement.Planner;
import org.gooseberryring.host.admin.AdminHandler;
import org.gooseberryring.host.admin.OperatorAuthenticator;
import org.gooseberryring.host.caller.Authenticator;
import org.gooseberryring.host.caller.CallerEffects;
import org.gooseberryring.host.caller.CallerHandler;
import org.gooseberryring.host.caller.OpenRequests;
import org.gooseberryring.host.caller.RelayHandler;
import org.gooseberryring.host.caller.Relays;
import org.gooseberryring.host.caller.RequestIds;
import org.gooseberryring.host.caller.RequestIntake;
import org.gooseberryring.host.config.AuditTrail;
import org.gooseberryring.host.config.ConfigurationChanger;
import org.gooseberryring.host.config.CurrentConfiguration;
import org.gooseberryring.host.config.JsonDocumentCodec;
import org.gooseberryring.host.control.ClaimControl;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.control.FeedControl;
import org.gooseberryring.host.control.JsonQuotaCodec;
import org.gooseberryring.host.control.LimitControl;
import org.gooseberryring.host.control.OrderControl;
import org.gooseberryring.host.control.StoreCallExecutor;
import org.gooseberryring.host.control.SummaryControl;
import org.gooseberryring.host.engine.RequestLoop;
import org.gooseberryring.host.fleet.HostDirectory;
import org.gooseberryring.host.fleet.LoadPoller;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.host.peer.PeerInbox;
import org.gooseberryring.host.peer.PeerRemoteEffects;
import org.gooseberryring.host.peer.TokenRoutes;
import org.gooseberryring.host.settings.HostSettings;
import org.gooseberryring.protocol.HostEntry;
import org.gooseberryring.protocol.LoadReport;
import org.gooseberryring.protocol.peer.MemberState;
import org.gooseberryring.protocol.peer.MemberUpdate;
import org.gooseberryring.protocol.peer.PeerMessage;
import org.gooseberryring.protocol.peer.Probe;
import org.gooseberryring.state.ChangeRecord;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.transport.endpoint.EndpointClient;
import org.gooseberryring.transport.endpoint.EndpointLimits;
import org.gooseberryring.transport.http.HttpCaller;
import org.gooseberryring.transport.http.HttpWorker;
import org.gooseberryring.transport.peer.PeerLimits;
import org.gooseberryring.transport.peer.PeerLinks;
import org.gooseberryring.transport.store.HttpObjectStore;
import org.gooseberryring.transport.store.ObjectStore;
import org.jboss.logging.Logger;

/** Assembles and runs the threads, event rings, clients and listeners of one host. */
public final class Host implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Host.class);
    private static final int MAX_IO_THREADS = 8;
    private static final int TASK_THREADS = 8;
    private static final int ADMIN_CONNECTIONS = 256;
    private static final int MAX_RECORDED_BYTES = 64 * 1024;
    private static final long TICK_MILLIS = 10;
    private static final long MILLIS_PER_SECOND = 1000;
    private static final long MAX_RUN_MILLIS = 600_000;
    private static final long HANDOVER_TIMEOUT_MILLIS = 5000;
    private static final long ANNOUNCEMENT_LIFETIME_MILLIS = 5000;

    private final HostSettings settings;
    private final HostClock clock = new HostClock();
    // Increases with each restart of the host, provided that the wall clock does not go back.
    private final long incarnation = clock.wallMillis();
    private final HostMetrics metrics = new HostMetrics();
    private final CurrentConfiguration configuration = new CurrentConfiguration();
    private final JsonDocumentCodec codec = new JsonDocumentCodec();
    private final CountDownLatch closed = new CountDownLatch(1);
    private final HttpWorker worker;
    private final HttpCaller client;
    private final ObjectStore store;
    private final StoreCallExecutor storeCalls;
    private final ControlLoop control;
    private final OpenRequests openRequests;
    private final Authenticator authenticator;
    private final PeerLinks peers;
    private final InetSocketAddress peerAddress;
    private final HostDirectory directory;
    private final LoadPoller loadPoller;
    private final LimitControl limits;
    private final PeerRemoteEffects remoteEffects;
    private final ClaimControl claims;
    private final HostCredits credits;
    private final RequestPath requestPath;
    private final RequestLoop loop;
    private final FeedControl feed;
    private final OrderControl orders;
    private final SummaryControl summaries;
    private final HostReport report;
    private final ScheduledExecutorService timer;
    private final HttpListener relayListener;
    private final HttpListener callerListener;
    private final HttpListener adminListener;

    private Host(HostSettings settings) {
        this.settings = settings;
        HostSettings.Limits bounds = settings.limits();
        int ioThreads = Math.min(MAX_IO_THREADS, Runtime.getRuntime().availableProcessors());
        worker = HttpWorker.start(settings.hostId(), ioThreads, TASK_THREADS);
        client = new HttpCaller(worker);
        store = new HttpObjectStore(
                client, settings.platformUri(), settings.timeouts().storeMillis());
        storeCalls = new StoreCallExecutor(store, bounds.storeRingSize());
        control = new ControlLoop(bounds.controlRingSize(), clock::now);
        openRequests = new OpenRequests(bounds.maxOpenRequests());
        authenticator = new Authenticator(configuration, settings.keyGraceSeconds(), clock::now);
        PeerInbox inbox = new PeerInbox();
        peers = peerLinks(inbox);
        directory = new HostDirectory(
                settings.platformUri(), settings.hostId(), settings.peerSeeds(), client, this::onHostsChanged);
        loadPoller = new LoadPoller(settings.failureDomain(), client, this::onLoadReport, clock::now);
        TokenRoutes tokens = new TokenRoutes(settings.hostId(), this::send, control);
        remoteEffects = new PeerRemoteEffects(client, directory, this::send, control);
        claims = new ClaimControl(
                settings.hostId(), incarnation, storeCalls, control, this::send, remoteEffects::onClaimResult);
        credits = new HostCredits(settings, incarnation, MAX_RUN_MILLIS, clock, this::send, control, storeCalls);
        requestPath = requestPath(tokens);
        loop = requestPath.loop();
        credits.connect();
        remoteEffects.connect(claims, loop);
        feed = new FeedControl(settings, store, control, this::send, configuration, codec, incarnation, clock.now());
        summaries = summaryControl();
        inbox.connect(tokens, loop, directory, control, feed, summaries, claims, credits.routes());
        // The peer address is known only after binding, because the settings may specify port 0.
        peerAddress = peers.listen(settings.peerAddress());
        limits = limitControl(tokens);
        tokens.connect(requestPath.tokenPool(), limits);
        configuration.onAdopted(this::onConfigurationAdopted);
        orders = new OrderControl(settings, storeCalls, control, client, configuration::current, clock, incarnation);
        timer = Executors.newSingleThreadScheduledExecutor(Host::timerThread);
        report = hostReport();
        control.onTick(limits::tick);
        control.onTick(feed::tick);
        control.onTick(claims::tick);
        control.onTick(orders::tick);
        control.onTick(summaries::tick);
        RequestIds ids = new RequestIds(settings.hostId(), incarnation);
        RequestIntake intake = new RequestIntake(openRequests, loop);
        relayListener = HttpListener.start(
                worker,
                settings.relayAddress(),
                bounds.maxConnections(),
                new RelayHandler(settings, openRequests, intake, loop, clock::now, clock::wallMillis));
        startThreads();
        callerListener = HttpListener.start(
                worker,
                settings.callerAddress(),
                bounds.maxConnections(),
                new CallerHandler(
                        settings, configuration, authenticator, ids, openRequests, intake, loop, metrics, clock::now));
        adminListener = HttpListener.start(
                worker, settings.adminAddress(), ADMIN_CONNECTIONS, new BlockingHandler(adminHandler(ids)));
        logStart();
    }

    /** Starts a host. */
    public static Host start(HostSettings settings) {
        return new Host(settings);
    }

    /** Returns the address that serves callers, with the port in use. */
    public InetSocketAddress callerAddress() {
        return callerListener.address();
    }

    /** Returns the address of the administration interface, with the port in use. */
    public InetSocketAddress adminAddress() {
        return adminListener.address();
    }

    /** Returns the address that accepts requests relayed from other failure domains, with the port in use. */
    public InetSocketAddress relayAddress() {
        return relayListener.address();
    }

    /** Returns the address of the peer links, with the port in use. */
    public InetSocketAddress peerAddress() {
        return peerAddress;
    }

    public CurrentConfiguration configuration() {
        return configuration;
    }

    /** Returns the number of open requests. */
    public int openRequests() {
        return openRequests.count();
    }

    /** Returns whether the host accepts new requests. */
    public boolean isReady() {
        return !openRequests.isDraining()
                && configuration.current().revision() > 0
                && authenticator.isFresh()
                && limits.isReady()
                && loadPoller.hasPolledAllEngines()
                && directory.isRead();
    }

    /** Completes the requests in flight and stops; blocks for at most the drain times of the settings. */
    public void drain() {
        LogLine.event("drain-started").with("open", openRequests.count()).info(LOG);
        openRequests.drain();
        try {
            closed.await(settings.timeouts().drainNoticeMillis(), TimeUnit.MILLISECONDS);
            boolean done = openRequests.awaitEmpty(settings.timeouts().drainLimitMillis());
            requestPath.tokenPool().releaseTokens();
            control.put(now -> {
                limits.startHandOver();
                orders.withdrawCandidacy();
                claims.startHandOver(now);
            });
            boolean handedOver =
                    limits.awaitHandOver(HANDOVER_TIMEOUT_MILLIS) && claims.awaitHandOver(HANDOVER_TIMEOUT_MILLIS);
            LogLine.event("drain-ended")
                    .with("complete", done)
                    .with("handedOver", handedOver)
                    .with("open", openRequests.count())
                    .info(LOG);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    /** Stops immediately, without draining. */
    @Override
    public synchronized void close() {
        if (closed.getCount() == 0) {
            return;
        }
        closed.countDown();
        feed.close();
        orders.close();
        timer.shutdownNow();
        callerListener.close();
        relayListener.close();
        adminListener.close();
        peers.close();
        loop.close();
        control.close();
        storeCalls.close();
        worker.close();
    }

    private void logStart() {
        LogLine.event("host-started")
                .with("host", settings.hostId())
                .with("callers", callerListener.address())
                .with("admin", adminListener.address())
                .with("peers", peerAddress)
                .with("relay", relayListener.address())
                .info(LOG);
    }

    private PeerLinks peerLinks(PeerInbox inbox) {
        return new PeerLinks(
                settings.hostId(),
                incarnation,
                settings.peerSecret(),
                PeerLimits.defaults(settings.limits().peerQueueFrames()),
                inbox,
                metrics.registry());
    }

    private SummaryControl summaryControl() {
        return new SummaryControl(
                settings.hostId(),
                settings.failureDomain(),
                directory,
                configuration::current,
                loadPoller::reports,
                this::send,
                requestPath.fleet(),
                clock::wallMillis);
    }

    private RequestPath requestPath(TokenRoutes tokens) {
        CallerEffects effects = new CallerEffects(
                openRequests,
                id -> configuration.current().endpoints().get(id),
                new EndpointClient(worker, endpointLimits()),
                metrics,
                remoteEffects,
                new Relays(directory::live, settings.peerSecret(), incarnation, clock::now, clock::wallMillis),
                credits.requestCredits());
        return new RequestPath(
                settings.failureDomain(),
                new TokenPool(settings.hostId(), incarnation, limitSettings()),
                tokens::send,
                credits.requestCredits(),
                effects,
                new RequestPath.Limits(settings.limits().requestRingSize(), MAX_RUN_MILLIS),
                incarnation,
                clock::now);
    }

    private LimitControl limitControl(TokenRoutes tokens) {
        KeeperIdentity self = new KeeperIdentity(
                settings.hostId(), incarnation, settings.failureDomain(), formatAddress(peerAddress));
        return new LimitControl(
                self,
                limitSettings(),
                new JsonQuotaCodec(),
                storeCalls,
                control,
                requestPath.tokenPool(),
                tokens::send);
    }

    private LimitSettings limitSettings() {
        LimitSettings defaults = LimitSettings.defaults();
        return new LimitSettings(
                defaults.batchLifetimeMillis(),
                settings.reclaimAfterSeconds() * MILLIS_PER_SECOND,
                defaults.keepersPerDomain(),
                defaults.maxPendingRequests(),
                defaults.askTimeoutMillis(),
                defaults.roundIntervalMillis(),
                defaults.stockMillis());
    }

    private void startThreads() {
        control.start();
        loop.start();
        feed.start();
        orders.start();
        timer.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        try {
            long now = clock.now();
            loop.tick();
            control.tick();
            directory.tick(now);
            loadPoller.tick(configuration.current(), now);
        } catch (RuntimeException e) {
            LogLine.event("timer-failure").error(LOG, e);
        }
    }

    private boolean send(String receiver, PeerMessage.Builder body, long lifetimeMillis) {
        return peers.send(receiver, body, lifetimeMillis);
    }

    private void onConfigurationAdopted(FleetConfiguration adopted) {
        requestPath.fleet().onConfiguration(adopted);
        control.put(now -> {
            limits.onConfiguration(adopted);
            credits.onConfiguration(adopted);
            orders.onConfiguration(adopted, now);
        });
    }

    private void onHostsChanged(Map<String, HostEntry> others) {
        others.forEach((id, entry) -> {
            InetSocketAddress address = HostDirectory.address(entry.peerAddress());
            if (address != null) {
                peers.setPeerAddress(id, address);
            }
        });
        // Must precede requests for tokens or claims, because other hosts need this address to reply.
        others.keySet().forEach(this::announceAddress);
        List<String> members = new ArrayList<>();
        members.add(settings.hostId());
        directory.live(settings.failureDomain()).forEach(entry -> members.add(entry.id()));
        List<FeedMember> live = new ArrayList<>();
        List<String> all = new ArrayList<>();
        all.add(settings.hostId());
        others.values().stream()
                .filter(entry -> entry.state().equals(HostDirectory.LIVE))
                .forEach(entry -> {
                    live.add(new FeedMember(entry.id(), entry.failureDomain()));
                    all.add(entry.id());
                });
        control.put(now -> {
            limits.onMembers(members);
            credits.onMembersChanged(members);
            orders.onMembers(members);
            feed.onMembers(live, now);
            claims.onMembers(all, now);
        });
    }

    /** Sends another host the address of this host, which the platform's list may not contain yet. */
    private void announceAddress(String host) {
        MemberUpdate self = MemberUpdate.newBuilder()
                .setHost(settings.hostId())
                .setIncarnation(incarnation)
                .setState(MemberState.MEMBER_STATE_ALIVE)
                .setFailureDomain(settings.failureDomain())
                .setPeerAddress(formatAddress(peerAddress))
                .setRelayAddress(formatAddress(relayListener.address()))
                .build();
        Probe probe = Probe.newBuilder()
                .setConfigurationRevision(configuration.current().revision())
                .addUpdates(self)
                .build();
        peers.send(host, PeerMessage.newBuilder().setProbe(probe), ANNOUNCEMENT_LIFETIME_MILLIS);
    }

    private static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void onLoadReport(LoadReport report, long ageMillis) {
        control.offer(now -> orders.onLoadReport(report, ageMillis, now));
        requestPath.fleet().onLoadReport(report, ageMillis);
    }

    private AdminHandler adminHandler(RequestIds ids) {
        AuditTrail audit = new AuditTrail(store, codec);
        ConfigurationChanger changer = new ConfigurationChanger(
                store,
                new ConfigurationEditor(new Planner()),
                codec,
                clock,
                committed -> control.put(now -> feed.onCommitted(committed, now)),
                Host::logChange);
        OperatorAuthenticator operators = new OperatorAuthenticator(settings.operatorTokens());
        return new AdminHandler(operators, ids, configuration, changer, audit, metrics, this::isReady, report::status);
    }

    private HostReport hostReport() {
        HostReport created = new HostReport(
                settings,
                incarnation,
                configuration,
                authenticator,
                openRequests,
                clock,
                this::isReady,
                () -> Map.of(
                        "hosts", directory.others().size(),
                        "controllerTerm", orders.term(),
                        "loadReports", loadPoller.reports()));
        created.registerGauges(metrics, loop, control, storeCalls);
        return created;
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

    private static void logChange(ChangeRecord record) {
        LogLine.event("audit")
                .with("changeId", record.changeId())
                .with("revision", record.revision())
                .with("actor", record.actor())
                .with("accepted", record.accepted())
                .with("summary", record.summary())
                .info(LOG);
    }

    private static Thread timerThread(Runnable task) {
        Thread thread = new Thread(task, "timer");
        thread.setDaemon(true);
        return thread;
    }
}
