package org.gooseberryring.host.control;

import java.net.URI;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;

import org.gooseberryring.coordination.membership.Rendezvous;
import org.gooseberryring.coordination.order.EndpointReport;
import org.gooseberryring.coordination.order.Order;
import org.gooseberryring.coordination.order.OrderController;
import org.gooseberryring.coordination.order.OrderEffect;
import org.gooseberryring.coordination.order.OrderSettings;
import org.gooseberryring.host.HostClock;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.host.ring.EventRing;
import org.gooseberryring.host.settings.HostSettings;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.protocol.LoadReport;
import org.gooseberryring.protocol.OrderDocument;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.transport.http.HttpCaller;
import org.jboss.logging.Logger;

/** Runs this host's part of the controller of its failure domain on the control thread. */
public final class OrderControl implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(OrderControl.class);
    private static final String ROLE = "controller/";
    // One of three candidates remains after two failures; more candidates would only read the lease more often.
    private static final int CANDIDATE_COUNT = 3;
    private static final long ORDER_TIMEOUT_MILLIS = 2000;
    // Each tick searches all endpoints for the next load. Replies of the store advance running operations without a
    // tick.
    private static final long TICK_INTERVAL_MILLIS = 250;
    private static final Map<String, String> JSON_HEADERS = Map.of("Content-Type", "application/json");

    private final String self;
    private final String failureDomain;
    private final OrderSettings settings;
    private final OrderController controller;
    private final StoreCallExecutor store;
    private final ControlLoop control;
    private final HttpCaller httpCaller;
    private final Supplier<FleetConfiguration> configuration;
    private final HostClock clock;
    private final EventRing<PendingOrder> orderRing;
    private volatile long term;
    private long nextTickAt;

    /**
     * Creates the controller.
     *
     * @param configuration returns the configuration in force, for the addresses of endpoints
     * @param seed seed of the jitter, different on each host
     */
    public OrderControl(
            HostSettings settings,
            StoreCallExecutor store,
            ControlLoop control,
            HttpCaller httpCaller,
            Supplier<FleetConfiguration> configuration,
            HostClock clock,
            long seed) {
        this.self = settings.hostId();
        this.failureDomain = settings.failureDomain();
        this.settings = OrderSettings.forWeightStore(
                settings.weightStore().loadsPerSecond(), settings.weightStore().concurrency());
        this.controller = new OrderController(
                self, failureDomain, this.settings, new JsonOrderCodec(), new SplittableRandom(seed));
        this.store = store;
        this.control = control;
        this.httpCaller = httpCaller;
        this.configuration = configuration;
        this.clock = clock;
        this.orderRing = new EventRing<>("orders", settings.limits().orderRingSize(), this::send);
    }

    public OrderControl start() {
        orderRing.start();
        return this;
    }

    /** Sets the live hosts of this failure domain, including this host. */
    public void onMembers(Collection<String> hosts) {
        controller.setCandidate(
                Rendezvous.top(hosts, ROLE + failureDomain, CANDIDATE_COUNT).contains(self));
    }

    /** Applies a configuration. */
    public void onConfiguration(FleetConfiguration next, long now) {
        controller.onConfiguration(next, now);
    }

    /** Handles a load report whose figures are {@code ageMillis} milliseconds old. */
    public void onLoadReport(LoadReport report, long ageMillis, long now) {
        carryOut(
                controller.onReport(
                        new EndpointReport(
                                report.endpoint(),
                                report.incarnation(),
                                new HashSet<>(report.loaded()),
                                new HashSet<>(report.unresolvedOrders()),
                                report.memoryUsedBytes(),
                                now - ageMillis),
                        now),
                now);
    }

    /** Runs the work that is due at {@code now}. */
    public void tick(long now) {
        if (now < nextTickAt) {
            return;
        }
        nextTickAt = now + TICK_INTERVAL_MILLIS;
        carryOut(controller.onTick(now), now);
        if (term != controller.term()) {
            term = controller.term();
            LogLine.event("controller-term").with("term", term).info(LOG);
        }
    }

    /** Returns the fencing number under which this host controls its failure domain, 0 if it does not. */
    public long term() {
        return term;
    }

    /** Withdraws the candidacy for the lease, as for a graceful shutdown. */
    public void withdrawCandidacy() {
        controller.setCandidate(false);
    }

    @Override
    public void close() {
        orderRing.close();
    }

    private void carryOut(List<OrderEffect> effects, long now) {
        for (OrderEffect effect : effects) {
            if (effect instanceof OrderEffect.Call call) {
                store.submit(
                        call.request(),
                        reply -> control.put(later -> carryOut(controller.onStoreReply(reply, later), later)));
            } else if (effect instanceof OrderEffect.Send send) {
                orderRing.offer(new PendingOrder(send.endpoint(), send.order(), now));
            }
            // Load reports are requested continuously, so RequestReport needs no call of its own.
        }
    }

    /** Sends an order once, on the order thread. */
    private void send(PendingOrder pending) {
        Endpoint endpoint = configuration.get().endpoints().get(pending.endpoint);
        if (endpoint == null || clock.now() - pending.decidedAt > settings.sendWindowMillis()) {
            return;
        }
        Order order = pending.order;
        OrderDocument.Action action =
                order.action() == Order.Action.LOAD ? OrderDocument.Action.LOAD : OrderDocument.Action.UNLOAD;
        OrderDocument document = new OrderDocument(
                order.id().toString(),
                order.id().term(),
                order.id().sequence(),
                action,
                order.artifact(),
                order.bytes(),
                null);
        LogLine.event("order")
                .with("endpoint", endpoint.id())
                .with("order", order.id())
                .with("action", action)
                .with("artifact", order.artifact())
                .info(LOG);
        URI uri = URI.create("http://" + endpoint.address() + "/v1/orders");
        httpCaller.callAsync("POST", uri, JSON_HEADERS, Json.write(document), ORDER_TIMEOUT_MILLIS);
    }

    private record PendingOrder(String endpoint, Order order, long decidedAt) {}
}
