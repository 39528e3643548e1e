package org.gooseberryring.host.entry;

import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

import io.undertow.server.HttpServerExchange;
import org.gooseberryring.coordination.request.RequestPolicy;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.stream.StreamReference;
import org.gooseberryring.host.caller.Destination;
import org.gooseberryring.host.caller.Digests;
import org.gooseberryring.host.caller.OpenRequest;
import org.gooseberryring.host.caller.OpenRequests;
import org.gooseberryring.state.OrganisationTerms;
import org.gooseberryring.state.PriorityClass;
import org.gooseberryring.state.RequestKind;
import org.gooseberryring.state.Route;
import org.gooseberryring.transport.endpoint.EndpointCall;
import org.gooseberryring.transport.endpoint.EventCursor;
import org.gooseberryring.transport.endpoint.EventNumbering;
import org.gooseberryring.transport.endpoint.EventNumberings;

/** Creates a request for the engine from a caller's request and its route. */
final class RequestFactory {
    private static final int LAST_HIGH_RANK = 1;
    private static final int LAST_NORMAL_RANK = 2;
    private static final String NO_ORGANISATION = "";

    /** Callers abandon a stream after this time without an event, or after the multiples below if these are longer. */
    private static final long MIN_START_TIMEOUT_MILLIS = 2_000;

    /** Multiple of the time objective of the route that callers wait for an event. */
    private static final long START_TIMEOUT_OBJECTIVES = 4;
    /** Multiple of the maximum gap between events that callers wait for an event. */
    private static final long START_TIMEOUT_GAPS = 8;

    /** Transmission time to and from the caller. */
    private static final long TRANSMISSION_MILLIS = 50;

    private final CallerProtocol protocol;
    private final OpenRequests open;
    private final RandomGenerator random;
    private final EventNumberings numberings;
    private final AtomicLong repeats = new AtomicLong();

    /**
     * Creates a factory.
     *
     * @param random distributes the requests of a route among its services
     * @param numberings how the endpoints of each service number the events of streams
     */
    RequestFactory(CallerProtocol protocol, OpenRequests open, RandomGenerator random, EventNumberings numberings) {
        this.protocol = protocol;
        this.open = open;
        this.random = random;
        this.numberings = numberings;
    }

    OpenRequest create(
            HttpServerExchange exchange, FrontHandler.Arrival arrival, FrontHandler.Admitted admitted, byte[] body) {
        RequestHead head = arrival.head();
        Route route = admitted.route();
        String service = route.service(random.nextDouble());
        RequestTarget target = new RequestTarget.RoutedTarget(service, head.model(), head.adapter());
        String path = admitted.requestTarget().pathAndQuery();
        RequestSpec spec = spec(exchange, arrival, admitted, target, path, body);
        EndpointCall.Kind kind =
                head.model() == null ? EndpointCall.Kind.PLAIN_SERVICE : EndpointCall.Kind.MODEL_ENGINE;
        Destination destination =
                new Destination(target, kind, path, body, route.repeatable(), spec.costTokens(), "", false);
        return new OpenRequest(
                spec,
                destination,
                exchange,
                protocol.toEndpoint(exchange.getRequestHeaders()),
                protocol.responseFormat(),
                route.kind() == RequestKind.STREAM ? events(route, head, service) : null);
    }

    private EventCursor events(Route route, RequestHead head, String service) {
        EventNumbering numbering = numberings.of(service);
        return route.resumable() ? new EventCursor(head.lastEventId(), numbering) : EventCursor.ofSingleRun(numbering);
    }

    private RequestSpec spec(
            HttpServerExchange exchange,
            FrontHandler.Arrival arrival,
            FrontHandler.Admitted admitted,
            RequestTarget target,
            String path,
            byte[] body) {
        RequestHead head = arrival.head();
        Route route = admitted.route();
        OrganisationTerms terms = admitted.terms();
        String organisation = terms == null ? null : terms.organisation().id();
        int rank = terms == null ? route.rank() : terms.rank().orElse(route.rank());
        String owner = organisation == null ? NO_ORGANISATION : organisation;
        String digest = Digests.ofRequest(owner, exchange.getRequestMethod() + " " + path, body);
        RequestPolicy policy = new RequestPolicy(
                ((RequestTarget.RoutedTarget) target).service(),
                Math.max(1, route.maxAttempts()),
                true,
                route.kind() == RequestKind.STREAM && route.resumable(),
                true,
                true,
                rank,
                arrival.at() + route.objectiveMillis(),
                responseStartDeadline(route, arrival.at()),
                head.prompt(),
                stream(head, route, owner),
                arrival.socketMillis());
        return new RequestSpec(
                uniqueId(head.requestId()),
                organisation,
                target,
                priorityClass(rank),
                terms == null ? 0 : head.sizeTokens().orElse(terms.plainRequestTokens()),
                0,
                digest,
                route.repeatable(),
                null,
                arrival.deadline(route),
                policy);
    }

    /** Returns the stream that a request begins or takes up, null if no other endpoint may continue it. */
    private static StreamReference stream(RequestHead head, Route route, String owner) {
        if (route.kind() != RequestKind.STREAM || !route.resumable()) {
            return null;
        }
        boolean takenUp = head.lastEventId().isPresent() || head.resumedRequest() != null;
        String firstRequest = takenUp ? head.resumedRequest() : head.requestId();
        return new StreamReference(
                firstRequest == null ? StreamReference.UNKNOWN_KEY : Digests.ofRequestId(owner, firstRequest), takenUp);
    }

    /** Returns the time by which a response must start; callers abandon a stream that does not start. */
    static long responseStartDeadline(Route route, long arrivedAt) {
        if (route.kind() != RequestKind.STREAM) {
            return Long.MAX_VALUE;
        }
        long waitMillis = Math.max(
                MIN_START_TIMEOUT_MILLIS,
                Math.max(
                        START_TIMEOUT_OBJECTIVES * route.objectiveMillis(), START_TIMEOUT_GAPS * route.maxGapMillis()));
        return arrivedAt + waitMillis - TRANSMISSION_MILLIS;
    }

    /** Returns the caller's identifier, with a suffix if a request with the same identifier is open. */
    private String uniqueId(String requestId) {
        return open.get(requestId) == null ? requestId : requestId + "." + repeats.incrementAndGet();
    }

    private static PriorityClass priorityClass(int rank) {
        if (rank <= LAST_HIGH_RANK) {
            return PriorityClass.HIGH;
        }
        return rank <= LAST_NORMAL_RANK ? PriorityClass.NORMAL : PriorityClass.BATCH;
    }
}
