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

/** One host: its threads, rings, clients and listeners. */
public final class Host implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Host.class);
    private static final int MAX_IO_THREADS = 8;
    private static final int TASK_THREADS = 8;
    private static final int ADMIN_CONNECTIONS = 256;
    private static final int MAX_RECORDED_BYTES = 64 * 1024;
    private static final long TICK_MILLIS = 10;
    private static final long MILLIS_PER_SECOND = 1000;
    private static final long MAX_RUN_MILLIS = 600_000;
    private static final long HAND_OVER_MILLIS = 5000;
    private static final long ANNOUNCEMENT_MILLIS = 5000;

    private final HostSettings settings;
    private final HostClock clock = new HostClock();
    // A later process of the host has a higher number as long as the wall clock does not go back.
    private final long incarnation = clock.wallMillis();
    private final HostMetrics metrics = new HostMetrics();
    private final CurrentConfiguration holder = new CurrentConfiguration();
    private final JsonDocumentCodec codec = new JsonDocumentCodec();
    private final CountDownLatch closed = new CountDownLatch(1);
    private final HttpWorker worker;
    private final HttpCaller caller;
    private final ObjectStore store;
    private final StoreCallExecutor lanes;
    private final ControlLoop control;
    private final OpenRequests open;
    private final Authenticator authenticator;
    private final PeerLinks peers;
    private final InetSocketAddress peerAddress;
    private final HostDirectory directory;
    private final LoadPoller loads;
    private final LimitControl limits;
    private final PeerRemoteEffects links;
    private final ClaimControl claims;
    private final HostCredits credits;
    private final RequestPath path;
    private final RequestLoop loop;
    private final FeedControl feed;
    private final OrderControl orders;
    private final SummaryControl summaries;
    private final HostReport report;
    private final ScheduledExecutorService timer;
    private final HttpListener relay;
    private final HttpListener callers;
    private final HttpListener admin;

    private Host(HostSettings settings) {
        this.settings = settings;
        HostSettings.Limits bounds = settings.limits();
        int ioThreads = Math.min(MAX_IO_THREADS, Runtime.getRuntime().availableProcessors());
        worker = HttpWorker.start(settings.hostId(), ioThreads, TASK_THREADS);
        caller = new HttpCaller(worker);
        store = new HttpObjectStore(
                caller, settings.platformUri(), settings.timeouts().storeMillis());
        lanes = new StoreCallExecutor(store, bounds.storeRingSize());
        control = new ControlLoop(bounds.controlRingSize(), clock::now);
        open = new OpenRequests(bounds.maxOpenRequests());
        authenticator = new Authenticator(holder, settings.keyGraceSeconds(), clock::now);
        PeerInbox inbox = new PeerInbox();
        peers = peerLinks(inbox);
        directory = new HostDirectory(
                settings.platformUri(), settings.hostId(), settings.peerSeeds(), caller, this::hostsChanged);
        loads = new LoadPoller(settings.failureDomain(), caller, this::onLoadReport, clock::now);
        TokenRoutes tokens = new TokenRoutes(settings.hostId(), this::sendToPeer, control);
        links = new PeerRemoteEffects(caller, directory, this::sendToPeer, control);
        claims = new ClaimControl(settings.hostId(), incarnation, lanes, control, this::sendToPeer, links::answered);
        credits = new HostCredits(settings, incarnation, MAX_RUN_MILLIS, clock, this::sendToPeer, control, lanes);
        path = requestPath(tokens);
        loop = path.loop();
        credits.connect();
        links.connect(claims, loop);
        feed = new FeedControl(settings, store, control, this::sendToPeer, holder, codec, incarnation, clock.now());
        summaries = summaryControl();
        inbox.connect(tokens, loop, directory, control, feed, summaries, claims, credits.routes());
        // The peer address is final only now, because the settings may leave the port to the system.
        peerAddress = peers.listen(settings.peerAddress());
        limits = limitControl(tokens);
        tokens.connect(path.tokenPool(), limits);
        holder.onAdopted(this::configured);
        orders = new OrderControl(settings, lanes, control, caller, holder::current, clock, incarnation);
        timer = Executors.newSingleThreadScheduledExecutor(Host::timerThread);
        report = hostReport();
        control.onTick(limits::tick);
        control.onTick(feed::tick);
        control.onTick(claims::tick);
        control.onTick(orders::tick);
        control.onTick(summaries::tick);
        RequestIds ids = new RequestIds(settings.hostId(), incarnation);
        RequestIntake intake = new RequestIntake(open, loop);
        relay = HttpListener.start(
                worker,
                settings.relayAddress(),
                bounds.maxConnections(),
                new RelayHandler(settings, open, intake, loop, clock::now, clock::wallMillis));
        startThreads();
        callers = HttpListener.start(
                worker,
                settings.callerAddress(),
                bounds.maxConnections(),
                new CallerHandler(settings, holder, authenticator, ids, open, intake, loop, metrics, clock::now));
        admin = HttpListener.start(
                worker, settings.adminAddress(), ADMIN_CONNECTIONS, new BlockingHandler(adminHandler(ids)));
        logStart();
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

    /** Returns the address that takes requests from other failure domains, with the port in use. */
    public InetSocketAddress relayAddress() {
        return relay.address();
    }

    /** Returns the address of the peer links, with the port in use. */
    public InetSocketAddress peerAddress() {
        return peerAddress;
    }

    public CurrentConfiguration configuration() {
        return holder;
    }

    /** Returns the number of requests that are open. */
    public int openRequests() {
        return open.count();
    }

    /** Returns whether the host takes new requests. */
    public boolean ready() {
        return !open.isDraining()
                && holder.current().revision() > 0
                && authenticator.isFresh()
                && limits.isReady()
                && loads.settled()
                && directory.read();
    }

    /** Finishes the requests in flight and stops; blocks for as long as the settings allow. */
    public void drain() {
        LogLine.event("drain-started").with("open", open.count()).info(LOG);
        open.drain();
        try {
            closed.await(settings.timeouts().drainNoticeMillis(), TimeUnit.MILLISECONDS);
            boolean done = open.awaitEmpty(settings.timeouts().drainLimitMillis());
            path.tokenPool().releaseTokens();
            control.put(now -> {
                limits.startHandOver();
                orders.withdrawCandidacy();
                claims.startHandOver(now);
            });
            boolean handedOver = limits.awaitHandOver(HAND_OVER_MILLIS) && claims.awaitHandOver(HAND_OVER_MILLIS);
            LogLine.event("drain-ended")
                    .with("complete", done)
                    .with("handedOver", handedOver)
                    .with("open", open.count())
                    .info(LOG);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    /** Stops at once. */
    @Override
    public synchronized void close() {
        if (closed.getCount() == 0) {
            return;
        }
        closed.countDown();
        feed.close();
        orders.close();
        timer.shutdownNow();
        callers.close();
        relay.close();
        admin.close();
        peers.close();
        loop.close();
        control.close();
        lanes.close();
        worker.close();
    }

    private void logStart() {
        LogLine.event("host-started")
                .with("host", settings.hostId())
                .with("callers", callers.address())
                .with("admin", admin.address())
                .with("peers", peerAddress)
                .with("relay", relay.address())
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
                holder::current,
                loads::reports,
                this::sendToPeer,
                path.fleet(),
                clock::wallMillis);
    }

    private RequestPath requestPath(TokenRoutes tokens) {
        CallerEffects effects = new CallerEffects(
                open,
                id -> holder.current().endpoints().get(id),
                new EndpointClient(worker, endpointLimits()),
                metrics,
                links,
                new Relays(directory::live, settings.peerSecret(), incarnation, clock::now, clock::wallMillis),
                credits.holder());
        return new RequestPath(
                settings.failureDomain(),
                new TokenPool(settings.hostId(), incarnation, limitSettings()),
                tokens::send,
                credits.holder(),
                effects,
                new RequestPath.Limits(settings.limits().requestRingSize(), MAX_RUN_MILLIS),
                incarnation,
                clock::now);
    }

    private LimitControl limitControl(TokenRoutes tokens) {
        KeeperIdentity self =
                new KeeperIdentity(settings.hostId(), incarnation, settings.failureDomain(), text(peerAddress));
        return new LimitControl(
                self, limitSettings(), new JsonQuotaCodec(), lanes, control, path.tokenPool(), tokens::send);
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
            loads.tick(holder.current(), now);
        } catch (RuntimeException e) {
            LogLine.event("timer-failure").error(LOG, e);
        }
    }

    private boolean sendToPeer(String receiver, PeerMessage.Builder body, long lifetimeMillis) {
        return peers.send(receiver, body, lifetimeMillis);
    }

    private void configured(FleetConfiguration configuration) {
        path.fleet().configured(configuration);
        control.put(now -> {
            limits.onConfiguration(configuration);
            credits.configured(configuration);
            orders.onConfiguration(configuration, now);
        });
    }

    private void hostsChanged(Map<String, HostEntry> others) {
        others.forEach((id, entry) -> {
            InetSocketAddress address = HostDirectory.address(entry.peerAddress());
            if (address != null) {
                peers.setPeerAddress(id, address);
            }
        });
        // Precedes every request for tokens or claims, whose answer needs the address of this host.
        others.keySet().forEach(this::announce);
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
            credits.members(members);
            orders.onMembers(members);
            feed.onMembers(live, now);
            claims.onMembers(all, now);
        });
    }

    /** Tells a host the address of this one, which the platform's list may not show yet. */
    private void announce(String host) {
        MemberUpdate self = MemberUpdate.newBuilder()
                .setHost(settings.hostId())
                .setIncarnation(incarnation)
                .setState(MemberState.MEMBER_STATE_ALIVE)
                .setFailureDomain(settings.failureDomain())
                .setPeerAddress(text(peerAddress))
                .setRelayAddress(text(relay.address()))
                .build();
        Probe probe = Probe.newBuilder()
                .setConfigurationRevision(holder.current().revision())
                .addUpdates(self)
                .build();
        peers.send(host, PeerMessage.newBuilder().setProbe(probe), ANNOUNCEMENT_MILLIS);
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void onLoadReport(LoadReport report, long ageMillis) {
        control.offer(now -> orders.onLoadReport(report, ageMillis, now));
        path.fleet().onLoadReport(report, ageMillis);
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
        return new AdminHandler(operators, ids, holder, changer, audit, metrics, this::ready, report::status);
    }

    private HostReport hostReport() {
        HostReport created = new HostReport(
                settings,
                incarnation,
                holder,
                authenticator,
                open,
                clock,
                this::ready,
                () -> Map.of(
                        "hosts", directory.others().size(),
                        "controllerTerm", orders.term(),
                        "loadReports", loads.reports()));
        created.registerGauges(metrics, loop, control, lanes);
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
