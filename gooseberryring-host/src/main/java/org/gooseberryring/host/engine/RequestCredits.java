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

/** Credits that this host holds; the holder is only used on the request thread. */
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
     * @param shared whether the hosts of the failure domain share credits; otherwise each uses the whole concurrency
     * @param messages sends a request to a home
     * @param clock monotonic milliseconds
     */
    public RequestCredits(boolean shared, Consumer<CreditHolder.Outgoing> messages, LongSupplier clock) {
        this.shared = shared;
        this.source = shared ? holder : new UnsharedCredits();
        this.messages = messages;
        this.clock = clock;
    }

    /** Names the loop of the request thread and its inputs; must precede the first event. */
    public void connect(RequestLoop requestLoop, FleetUpdateHandler fleetRequests) {
        loop = requestLoop;
        fleet = fleetRequests;
    }

    public CreditSource source() {
        return source;
    }

    /** Returns a check of the lease: a host that was frozen in between must not start the request on an expired one. */
    @Override
    public BooleanSupplier mayStart(RequestSpec spec, String endpoint) {
        if (!shared) {
            return () -> true;
        }
        long writeBefore = holder.writeBefore(endpoint);
        return () -> clock.getAsLong() < writeBefore;
    }

    /** Counts an attempt that ended, for the slow start at the home. */
    @Override
    public AttemptOutcome attemptEnded(RequestSpec spec, String endpoint, AttemptOutcome outcome) {
        if (shared) {
            boolean success = outcome.verdict() == Verdict.COMPLETED && outcome.status() < FIRST_SERVER_ERROR;
            loop.put((engine, now) -> {
                holder.ended(endpoint, success, outcome.endpointLost());
                return List.of();
            });
        }
        return outcome;
    }

    /** Takes over the home of an endpoint. */
    public void onCoordinatorChanged(String endpoint, HolderId home, long term) {
        loop.put((engine, now) -> {
            holder.homeChanged(endpoint, home, term);
            return List.of();
        });
    }

    /** Takes a grant for this process. */
    public void granted(CreditMessage.Grant grant) {
        loop.put((engine, now) -> holder.granted(grant, now) ? fleet.creditsArrived(grant.endpoint(), now) : List.of());
    }

    /** Asks for the credits that are wanted and renews those held; left out when the ring is full. */
    public void tick() {
        if (shared) {
            loop.offer((engine, now) -> {
                holder.poll(now).forEach(messages);
                return List.of();
            });
        }
    }
}
