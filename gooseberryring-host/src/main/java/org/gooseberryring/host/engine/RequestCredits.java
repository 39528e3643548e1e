package org.gooseberryring.host.engine;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.FleetUpdateHandler;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.route.CreditHolder;
import org.gooseberryring.coordination.route.CreditMessage;
import org.gooseberryring.coordination.route.CreditSource;
import org.gooseberryring.coordination.route.HolderId;
import org.gooseberryring.coordination.route.UnsharedCredits;
import org.gooseberryring.state.Verdict;

/** Concurrency credits of this host; the credit holder is used on the request thread only. */
public final class RequestCredits implements AttemptGate {
    private static final int FIRST_SERVER_ERROR = 500;

    private final boolean shared;
    private final CreditHolder holder = new CreditHolder();
    private final CreditSource source;
    private final Consumer<CreditHolder.Outgoing> messages;
    private final LongSupplier clock;
    private RequestLoop loop;
    private FleetUpdateHandler fleet;

    /**
     * Creates the credits of one host.
     *
     * @param shared whether the hosts of the failure domain share credits; otherwise each uses the full concurrency
     * @param messages sends a request to a credit coordinator
     * @param clock monotonic time in milliseconds
     */
    public RequestCredits(boolean shared, Consumer<CreditHolder.Outgoing> messages, LongSupplier clock) {
        this.shared = shared;
        this.source = shared ? holder : new UnsharedCredits();
        this.messages = messages;
        this.clock = clock;
    }

    /** Sets the loop of the request thread and its inputs; must be called before the first event. */
    public void connect(RequestLoop requestLoop, FleetUpdateHandler fleetUpdates) {
        loop = requestLoop;
        fleet = fleetUpdates;
    }

    public CreditSource source() {
        return source;
    }

    /** Returns a check that the lease is still valid: a host that was suspended must not use an expired lease. */
    @Override
    public BooleanSupplier mayStart(RequestSpec spec, String endpoint) {
        if (!shared) {
            return () -> true;
        }
        long startBeforeMillis = holder.writeBefore(endpoint);
        return () -> clock.getAsLong() < startBeforeMillis;
    }

    /** Counts the outcome of an attempt, which the credit coordinator uses for the slow start. */
    @Override
    public AttemptOutcome attemptEnded(RequestSpec spec, AttemptPath path, AttemptOutcome outcome) {
        if (shared) {
            boolean success = outcome.verdict() == Verdict.COMPLETED && outcome.status() < FIRST_SERVER_ERROR;
            loop.put((engine, now) -> {
                holder.ended(path.endpoint(), success, outcome.endpointLost());
                return List.of();
            });
        }
        return outcome;
    }

    /** Sets the credit coordinator of an endpoint. */
    public void onCoordinatorChanged(String endpoint, HolderId coordinator, long term) {
        loop.put((engine, now) -> {
            holder.homeChanged(endpoint, coordinator, term);
            return List.of();
        });
    }

    /** Applies a grant for this process. */
    public void onGrant(CreditMessage.Grant grant) {
        loop.put((engine, now) -> holder.granted(grant, now) ? fleet.creditsArrived(grant.endpoint(), now) : List.of());
    }

    /** Requests the required credits and renews those held; skipped when the ring is full. */
    public void tick() {
        if (shared) {
            loop.offer((engine, now) -> {
                holder.poll(now).forEach(messages);
                return List.of();
            });
        }
    }
}
