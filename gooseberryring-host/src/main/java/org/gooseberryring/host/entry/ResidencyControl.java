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

/** Holds the lease of a failure domain and carries out what its residency controller decides. */
final class ResidencyControl {
    /** Hosts of a failure domain that follow its lease; the others leave the store alone. */
    static final int CANDIDATES = 2;

    private static final Logger LOG = Logger.getLogger(ResidencyControl.class);

    /** Time in which an order reaches its endpoint. */
    private static final long TRANSIT_MILLIS = 200;

    private final ResidencyController controller;
    private final DomainLease lease;
    private final StoreCallExecutor lanes;
    private final ControlLoop control;
    private final EndpointOrders orders;
    private final DeploymentView view;
    private final PeerExchange exchange;
    private final StoreEpochs epochs;
    private final OrderPermission right;
    private long leadingTerm;
    private volatile boolean due;

    /** Creates the control; {@code wallClock} gives milliseconds since the Unix epoch. */
    ResidencyControl(
            EntrySettings settings,
            ResidencyController controller,
            StoreCallExecutor lanes,
            ControlLoop control,
            EndpointOrders orders,
            DeploymentView view,
            PeerExchange exchange,
            StoreEpochs epochs,
            LongSupplier wallClock,
            RandomGenerator random) {
        this.controller = controller;
        this.lanes = lanes;
        this.control = control;
        this.orders = orders;
        this.view = view;
        this.exchange = exchange;
        this.epochs = epochs;
        // The next holder takes the lease when the last order of this one is as old as the installation demands.
        long leaseMillis = OrderPermission.ORDER_MILLIS + TRANSIT_MILLIS + settings.orderLeaseMillis();
        // The address belongs to one machine only, also if a host that was replaced by another of its name still runs.
        String holder = settings.hostId() + '@' + settings.callerAddress().getHostString();
        this.lease = new DomainLease(holder, settings.failureDomain(), leaseMillis, new JsonOrderCodec(), random);
        this.right = new OrderPermission(lease, wallClock);
        epochs.onChange(lease::onEpoch);
    }

    /** Lets time pass; must be called on the control thread. */
    void tick(long now) {
        lease.setCandidate(exchange.mayControl(CANDIDATES, now));
        lease.recordUsedTerm(exchange.controllerTerm());
        boolean mayOrder = right.holds(now);
        call(lease.onTick(now));
        long term = mayOrder ? lease.term() : 0;
        if (term != leadingTerm && (term != 0 || !lease.isLeader(now))) {
            leadingTerm = term;
            if (term == 0) {
                exchange.controlsNothing(now);
            }
            LogLine.event("controller-term").with("term", term).info(LOG);
        }
        carryOut(controller.onTick(term, now), now);
        due = controller.isDue();
    }

    /**
     * Notes that requests wait for an artifact, which is looked at in the next short tick of this host. All controllers hear
     * of it at the same moment; their ticks differ, so that the first to order is heard of by the others before theirs.
     */
    void awaited() {
        due = true;
    }

    /** Returns whether an order is awaited that must not wait for the next regular tick; may be called on any thread. */
    boolean isDue() {
        return due;
    }

    /**
     * Takes the lease no more, as for a graceful stop. A lease that is held is renewed until the process ends, and the next
     * holder waits until it has run out.
     */
    void leave() {
        lease.withdraw();
    }

    private void call(List<OrderEffect> effects) {
        for (OrderEffect effect : effects) {
            if (effect instanceof OrderEffect.Call call) {
                lanes.submit(
                        call.request(),
                        reply -> control.put(now -> {
                            epochs.seen(reply, now);
                            call(lease.onReply(reply, now));
                        }));
            }
        }
    }

    private void carryOut(List<ResidencyEffect> effects, long now) {
        List<ResidencyEffect.Announce> announcements = new ArrayList<>();
        for (ResidencyEffect effect : effects) {
            if (effect instanceof ResidencyEffect.Send send) {
                send(send.order());
            } else if (effect instanceof ResidencyEffect.RequestStatus ask) {
                askStatus(ask.endpoint());
            } else if (effect instanceof ResidencyEffect.Announce announce) {
                announcements.add(announce);
            }
        }
        if (!announcements.isEmpty()) {
            exchange.announce(lease.term(), announcements, now);
        }
    }

    private void send(ArtifactOrder order) {
        EndpointRegistration endpoint = view.registration(order.endpoint());
        if (endpoint == null) {
            controller.onOrderResult(order, OrderResult.REFUSED, 0);
            return;
        }
        orders.send(endpoint, order)
                .whenComplete((answer, failure) -> control.put(now -> {
                    OrderResult known = answer == null ? OrderResult.UNKNOWN : answer;
                    LogLine.event("order-answered")
                            .with("endpoint", order.endpoint())
                            .with("action", order.action())
                            .with("model", order.model())
                            .with("adapter", order.adapter())
                            .with("sequence", order.expectedSequence())
                            .with("term", order.term())
                            .with("answer", known)
                            .info(LOG);
                    controller.onOrderResult(order, known, now);
                    tick(now);
                }));
    }

    private void askStatus(String id) {
        EndpointRegistration endpoint = view.registration(id);
        if (endpoint == null) {
            controller.onStatusFailure(id);
            return;
        }
        orders.status(endpoint)
                .whenComplete((status, failure) -> control.put(now -> {
                    if (failure == null) {
                        controller.onStatus(status, now);
                        tick(now);
                    } else {
                        LogLine.event("endpoint-status-failed")
                                .with("endpoint", id)
                                .with("reason", failure)
                                .info(LOG);
                        controller.onStatusFailure(id);
                    }
                }));
    }
}
