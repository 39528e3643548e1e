package org.gooseberryring.coordination.route;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.gooseberryring.state.Endpoint;

/**
 * Manages the concurrency credits of this host and requests more from their coordinators.
 *
 * <p>A credit in use stays counted until its request has ended, even if the lease expires; the lease only limits the
 * start of new requests. All methods are called from the request thread.
 */
public final class CreditHolder implements CreditSource {
    /**
     * Request to send to a coordinator.
     *
     * @param home coordinator process to send it to
     * @param request message
     */
    public record Outgoing(HolderId home, CreditMessage.Request request) {}

    private final Map<String, HeldCredits> held = new LinkedHashMap<>();

    @Override
    public EndpointCredits of(Endpoint endpoint) {
        return credits(endpoint.id());
    }

    /** Sets the coordinator of an endpoint that the store records; an older term is ignored. */
    public void homeChanged(String endpoint, HolderId home, long term) {
        credits(endpoint).homeChanged(home, term);
    }

    /** Applies a grant; returns whether waiting requests may start now. */
    public boolean granted(CreditMessage.Grant grant, long now) {
        HeldCredits credits = held.get(grant.endpoint());
        return credits != null && credits.granted(grant, now);
    }

    /** Records the outcome of an attempt, for the slow start of the endpoint across all hosts. */
    public void ended(String endpoint, boolean success, boolean lost) {
        credits(endpoint).ended(success, lost);
    }

    /** Returns the requests for credits to send now; called after each batch of events and at least every 50 ms. */
    public List<Outgoing> poll(long now) {
        List<Outgoing> outgoing = new ArrayList<>();
        for (HeldCredits credits : held.values()) {
            if (!credits.isIdle() && credits.mustSend(now)) {
                outgoing.add(new Outgoing(credits.home(), credits.request(now)));
            }
        }
        return outgoing;
    }

    /**
     * Returns the time before which a request that was given a credit must be written to its connection.
     *
     * <p>The I/O thread checks this right before the write, so that a host that was frozen after the decision does not
     * start the request under an expired lease.
     */
    public long writeBefore(String endpoint) {
        HeldCredits credits = held.get(endpoint);
        return credits == null ? Long.MIN_VALUE : credits.leaseEnd();
    }

    private HeldCredits credits(String endpoint) {
        return held.computeIfAbsent(endpoint, HeldCredits::new);
    }
}
