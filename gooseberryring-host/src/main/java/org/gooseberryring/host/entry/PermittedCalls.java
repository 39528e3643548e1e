package org.gooseberryring.host.entry;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

import org.gooseberryring.coordination.ratelimit.PermitGrant;
import org.gooseberryring.coordination.ratelimit.PermitHolder;
import org.gooseberryring.coordination.ratelimit.PermitPurpose;
import org.gooseberryring.coordination.ratelimit.PermitRequest;
import org.gooseberryring.coordination.ratelimit.RateLimit;
import org.gooseberryring.state.EndpointProcess;

/**
 * Makes statuses, orders and health checks wait for permits of limited endpoints, which count them like requests.
 *
 * <p>Not thread-safe; used on the control thread only.
 */
final class PermittedCalls {
    /** Time for which a call waits for a permit. */
    private static final long MAX_WAIT_MILLIS = 5_000;

    private final PermitHolder permits = new PermitHolder(PermitPurpose.CONTROL);
    private final Map<String, Call> waiting = new LinkedHashMap<>();
    private long lastNumber;

    private record Call(EndpointProcess process, LongConsumer run, LongConsumer drop, long until) {}

    /**
     * Makes a call at once, or when its endpoint takes it.
     *
     * @param run makes the call; receives the time in milliseconds
     * @param drop called instead if there is no permit in time; receives the time in milliseconds
     */
    void run(EndpointProcess process, LongConsumer run, LongConsumer drop, long now) {
        lastNumber++;
        String id = "call-" + lastNumber;
        if (permits.isPermitted(process, now)) {
            permits.use(process, id, now);
            run.accept(now);
        } else {
            long until = now + MAX_WAIT_MILLIS;
            permits.await(process, id, until);
            waiting.put(id, new Call(process, run, drop, until));
        }
    }

    void setLimit(EndpointProcess process, RateLimit limit, long now) {
        permits.setLimit(process, limit);
        tick(now);
    }

    void onGrant(PermitGrant grant, long now) {
        permits.onGrant(grant, now);
        tick(now);
    }

    /** Makes the calls that are permitted by now and drops those that have waited too long. */
    void tick(long now) {
        // A call may lead to another one, so the calls are made after the iteration.
        Map<String, Call> ended = new LinkedHashMap<>();
        Iterator<Map.Entry<String, Call>> each = waiting.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<String, Call> entry = each.next();
            Call call = entry.getValue();
            boolean permitted = permits.isPermitted(call.process(), now);
            if (permitted) {
                permits.use(call.process(), entry.getKey(), now);
            }
            if (permitted || now >= call.until()) {
                each.remove();
                ended.put(entry.getKey(), permitted ? call : new Call(call.process(), call.drop(), call.drop(), 0));
            }
        }
        ended.values().forEach(call -> call.run().accept(now));
    }

    /** Returns the requests for permits that are due. */
    List<PermitRequest> takeRequests(long now) {
        return permits.takeRequests(now);
    }
}
