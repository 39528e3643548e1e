package org.gooseberryring.coordination.ratelimit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gooseberryring.state.EndpointProcess;

/** Permits of this host for one purpose, and its requests that wait for one. */
public final class PermitHolder {
    private final PermitPurpose purpose;
    private final Map<EndpointProcess, ProcessPermits> processes = new HashMap<>();

    /** Creates a holder that knows no limit. */
    public PermitHolder(PermitPurpose purpose) {
        this.purpose = purpose;
    }

    /** Applies the limit of a process. */
    public void setLimit(EndpointProcess process, RateLimit limit) {
        if (limit.isLimited()) {
            processes
                    .computeIfAbsent(process, key -> new ProcessPermits(key, purpose))
                    .setLimit(limit);
        } else {
            processes.remove(process);
        }
    }

    /** Returns whether no process has a limit. */
    public boolean isEmpty() {
        return processes.isEmpty();
    }

    /** Returns whether a process has a limit. */
    public boolean isLimited(EndpointProcess process) {
        return processes.containsKey(process);
    }

    /** Returns whether a process has no limit, or a request may be sent to it now. */
    public boolean isPermitted(EndpointProcess process, long now) {
        ProcessPermits permits = processes.get(process);
        return permits == null || permits.isAvailable(now);
    }

    /** Returns whether a permit can be expected within a few milliseconds, because none has been refused lately. */
    public boolean isExpected(EndpointProcess process, long now) {
        ProcessPermits permits = processes.get(process);
        return permits == null || permits.isExpected(now);
    }

    /** Returns the expected milliseconds until a request gets a permit after those that already wait. */
    public long millisToPermit(EndpointProcess process, String requestId, long now) {
        ProcessPermits permits = processes.get(process);
        return permits == null ? 0 : permits.millisToPermit(requestId, now);
    }

    /** Lets a request wait for a permit of a process until a time, and for no other one. */
    public void await(EndpointProcess process, String requestId, long until) {
        processes.forEach((other, permits) -> {
            if (!other.equals(process)) {
                permits.forget(requestId);
            }
        });
        ProcessPermits permits = processes.get(process);
        if (permits != null) {
            permits.await(requestId, until);
        }
    }

    /** Uses a permit for a request that is sent to a process; the request waits for no other permit any more. */
    public void use(EndpointProcess process, String requestId, long now) {
        ProcessPermits used = processes.get(process);
        if (used != null) {
            used.use(now);
        }
        forget(requestId);
    }

    /** Handles that a request waits for no permit any more. */
    public void forget(String requestId) {
        processes.values().forEach(permits -> permits.forget(requestId));
    }

    /** Handles a response of an issuer. */
    public void onGrant(PermitGrant grant, long now) {
        ProcessPermits permits = processes.get(grant.process());
        if (permits != null) {
            permits.onGrant(grant, now);
        }
    }

    /** Returns the requests to send to the issuers now. */
    public List<PermitRequest> takeRequests(long now) {
        if (processes.isEmpty()) {
            return List.of();
        }
        List<PermitRequest> requests = new ArrayList<>();
        processes.values().forEach(permits -> permits.nextRequest(now).ifPresent(requests::add));
        return requests;
    }
}
