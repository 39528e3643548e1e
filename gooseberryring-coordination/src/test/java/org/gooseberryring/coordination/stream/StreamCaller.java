package org.gooseberryring.coordination.stream;

import java.util.Set;
import java.util.TreeSet;

import org.gooseberryring.coordination.request.RequestPolicy;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.state.PriorityClass;
import org.gooseberryring.state.PromptShape;

/** Caller of one stream of a {@link StreamWorld}, over all its requests. */
final class StreamCaller {
    private static final long OBJECTIVE_MILLIS = 4_000;

    private final String name;
    private final long deadline;
    private final Set<String> versions = new TreeSet<>();
    private int received;
    private int tries;
    private StreamHost host;
    private String request;
    private int attempt;
    private String endpoint;
    private boolean begun;
    private boolean counted;

    StreamCaller(String name, long deadline) {
        this.name = name;
        this.deadline = deadline;
    }

    boolean mayTry(int maxTries, long now) {
        return tries < maxTries && now < deadline;
    }

    /** Returns the versions from which its events come. */
    Set<String> versions() {
        return versions;
    }

    int received() {
        return received;
    }

    boolean hasEvents() {
        return received > 0;
    }

    StreamHost host() {
        return host;
    }

    String request() {
        return request;
    }

    int attempt() {
        return attempt;
    }

    /** Returns the endpoint of the running attempt, null if there is none. */
    String endpoint() {
        return endpoint;
    }

    boolean hasBegun() {
        return begun;
    }

    void onDispatched(int number, String at) {
        attempt = number;
        endpoint = at;
        begun = false;
    }

    void onBegun() {
        begun = true;
    }

    /** Sets whether the first event of the present request counts as a stream that goes on. */
    void setCounted(boolean counts) {
        counted = counts;
    }

    /** Records an event; returns whether it counts as a stream that goes on. */
    boolean onEvent(String version) {
        received++;
        versions.add(version);
        boolean goesOn = counted;
        counted = false;
        return goesOn;
    }

    /** Starts the next request, at a host. */
    RequestSpec nextRequest(StreamHost at, String service, long now) {
        host = at;
        request = name + "." + tries++;
        attempt = 0;
        endpoint = null;
        begun = false;
        long key = Long.parseLong(name) + 1;
        RequestPolicy policy = new RequestPolicy(
                service,
                2,
                true,
                true,
                true,
                true,
                1,
                now + OBJECTIVE_MILLIS,
                Long.MAX_VALUE,
                PromptShape.NONE,
                new StreamReference(key, hasEvents()),
                0);
        return new RequestSpec(
                request,
                "o",
                new RequestTarget.RoutedTarget(service, null, null),
                PriorityClass.NORMAL,
                0,
                0,
                "%016x".formatted(request.hashCode() & 0xffff_ffffL),
                true,
                null,
                deadline,
                policy);
    }
}
