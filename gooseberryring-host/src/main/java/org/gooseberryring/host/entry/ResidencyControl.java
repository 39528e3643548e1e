package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.order.DomainLease;
import org.gooseberryring.coordination.order.OrderEffect;
import org.gooseberryring.coordination.residency.ArtifactOrder;
import org.gooseberryring.coordination.residency.OrderResult;
import org.gooseberryring.coordination.residency.ResidencyController;
import org.gooseberryring.coordination.residency.ResidencyEffect;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.control.JsonOrderCodec;
import org.gooseberryring.host.control.StoreCallExecutor;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.state.EndpointRegistration;
import org.jboss.logging.Logger;

/** Maintains the lease of a failure domain and carries out the decisions of its residency controller. */
final class ResidencyControl {
    /** Number of hosts of a failure domain that are candidates for its lease; the others make no store calls for it. */
    static final int CANDIDATES = 2;

    private static final Logger LOG = Logger.getLogger(ResidencyControl.class);

    /** Time within which an order reaches its endpoint. */
    private static final long ORDER_TRANSIT_MILLIS = 200;

    private final ResidencyController controller;
    private final DomainLease lease;
    private final StoreCallExecutor storeExecutor;
    private final ControlLoop control;
    private final EndpointOrders orders;
    private final PermittedCalls calls;
    private final DeploymentView view;
    private final PeerExchange exchange;
    private final StoreEpochs epochs;
    private final OrderPermission permission;
    private long currentTerm;
    private volatile boolean due;

    /** Creates the control; {@code wallClock} gives milliseconds since the Unix epoch. */
    ResidencyControl(
            EntrySettings settings,
            ResidencyController controller,
            StoreCallExecutor storeExecutor,
            ControlLoop control,
            EndpointOrders orders,
            PermittedCalls calls,
            DeploymentView view,
            PeerExchange exchange,
            StoreEpochs epochs,
            LongSupplier wallClock,
            RandomGenerator random) {
        this.controller = controller;
        this.storeExecutor = storeExecutor;
        this.control = control;
        this.orders = orders;
        this.calls = calls;
        this.view = view;
        this.exchange = exchange;
        this.epochs = epochs;
        // The next holder can acquire the lease only when the last order of this one is as old as the deployment
        // requires.
        long leaseMillis = OrderPermission.ORDER_MILLIS + ORDER_TRANSIT_MILLIS + settings.orderLeaseMillis();
        // The address makes the holder unique, even if a host still runs that was replaced by another of the same name.
        String holder = settings.hostId() + '@' + settings.callerAddress().getHostString();
        this.lease = new DomainLease(holder, settings.failureDomain(), leaseMillis, new JsonOrderCodec(), random);
        this.permission = new OrderPermission(lease, wallClock);
        epochs.onChange(lease::onEpoch);
    }

    /** Advances the lease and the controller; must be called on the control thread. */
    void tick(long now) {
        lease.setSuspended(exchange.isReplaceable(now));
        lease.setCandidate(exchange.mayControl(CANDIDATES, now));
        lease.recordUsedTerm(exchange.controllerTerm());
        boolean mayOrder = permission.isGranted(now);
        call(lease.onTick(now));
        long term = mayOrder ? lease.term() : 0;
        if (term != currentTerm && (term != 0 || !lease.isLeader(now))) {
            currentTerm = term;
            if (term == 0) {
                exchange.onControlLost(now);
            }
            LogLine.event("controller-term").with("term", term).info(LOG);
        }
        carryOut(controller.onTick(term, now), now);
        due = controller.isDue();
    }

    /**
     * Records that requests wait for an artifact, which is handled in the next short tick of this host. All controllers are
     * notified at the same moment. Since their ticks differ, the others learn of the first order before their own tick.
     */
    void onArtifactRequested() {
        due = true;
    }

    /** Returns whether an order is pending that must not wait for the next regular tick; may be called on any thread. */
    boolean isDue() {
        return due;
    }

    /**
     * Stops acquiring the lease, for a graceful shutdown. A lease that this host holds is renewed until the process ends, and
     * the next holder waits until it has expired.
     */
    void stopAcquiring() {
        lease.withdraw();
    }

    private void call(List<OrderEffect> effects) {
        for (OrderEffect effect : effects) {
            if (effect instanceof OrderEffect.Call call) {
                storeExecutor.submit(
                        call.request(),
                        reply -> control.put(now -> {
                            epochs.observe(reply, now);
                            call(lease.onReply(reply, now));
                        }));
            }
        }
    }

    private void carryOut(List<ResidencyEffect> effects, long now) {
        List<ResidencyEffect.Announce> announcements = new ArrayList<>();
        for (ResidencyEffect effect : effects) {
            if (effect instanceof ResidencyEffect.Send send) {
                send(send.order(), now);
            } else if (effect instanceof ResidencyEffect.RequestStatus ask) {
                queryStatus(ask.endpoint(), now);
            } else if (effect instanceof ResidencyEffect.Announce announce) {
                announcements.add(announce);
            }
        }
        if (!announcements.isEmpty()) {
            exchange.announce(lease.term(), announcements, now);
        }
    }

    private void send(ArtifactOrder order, long now) {
        EndpointRegistration endpoint = view.registration(order.endpoint());
        if (endpoint == null) {
            controller.onOrderResult(order, OrderResult.REFUSED, now);
            return;
        }
        calls.run(
                endpoint.process(),
                at -> sendIfLeading(endpoint, order, at),
                at -> controller.onOrderResult(order, OrderResult.REFUSED, at),
                now);
    }

    /** Sends an order that may have waited for a permit, unless this host may no longer send it. */
    private void sendIfLeading(EndpointRegistration endpoint, ArtifactOrder order, long startedAt) {
        if (!permission.isGranted(startedAt) || lease.term() != order.term()) {
            controller.onOrderResult(order, OrderResult.REFUSED, startedAt);
            return;
        }
        orders.send(endpoint, order)
                .whenComplete((result, failure) -> control.put(now -> {
                    OrderResult knownResult = result == null ? OrderResult.UNKNOWN : result;
                    LogLine.event("order-answered")
                            .with("endpoint", order.endpoint())
                            .with("action", order.action())
                            .with("model", order.model())
                            .with("adapter", order.adapter())
                            .with("sequence", order.expectedSequence())
                            .with("term", order.term())
                            .with("answer", knownResult)
                            .info(LOG);
                    controller.onOrderResult(order, knownResult, now);
                    tick(now);
                }));
    }

    private void queryStatus(String id, long now) {
        EndpointRegistration endpoint = view.registration(id);
        if (endpoint == null) {
            controller.onStatusFailure(id);
            return;
        }
        calls.run(
                endpoint.process(), at -> queryStatus(endpoint), at -> controller.onStatusFailure(endpoint.id()), now);
    }

    private void queryStatus(EndpointRegistration endpoint) {
        orders.status(endpoint)
                .whenComplete((status, failure) -> control.put(now -> {
                    if (failure == null) {
                        controller.onStatus(status, now);
                        tick(now);
                    } else {
                        LogLine.event("endpoint-status-failed")
                                .with("endpoint", endpoint.id())
                                .with("reason", failure)
                                .info(LOG);
                        controller.onStatusFailure(endpoint.id());
                    }
                }));
    }
}
