package org.gooseberryring.host.entry;

import java.util.LinkedHashMap;
import java.util.Map;

import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;

/**
 * Processes of endpoints that are known to leave, from their registration, from an answer or from another host.
 *
 * <p>A process that leaves never takes new work again, whatever an older copy of the store or a late message says. A later
 * process of the endpoint is another one. Belongs to the control thread.
 */
final class LeavingEndpoints {
    /** Processes that are kept; the one that was named first is forgotten beyond that. */
    private static final int MAX_PROCESSES = 4_096;

    private final Map<String, Long> bornMillis = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_PROCESSES;
        }
    };

    /** Notes that a process leaves; returns whether that is news. */
    boolean add(EndpointProcess process) {
        Long known = bornMillis.get(process.endpoint());
        if (known != null && known >= process.bornMillis()) {
            return false;
        }
        bornMillis.put(process.endpoint(), process.bornMillis());
        return true;
    }

    /** Returns a registration as it counts: leaving if its process, or a later one of the endpoint, is known to leave. */
    EndpointRegistration current(EndpointRegistration registration) {
        EndpointProcess process = registration.process();
        if (registration.leaving()) {
            add(process);
            return registration;
        }
        Long known = bornMillis.get(process.endpoint());
        if (known == null) {
            return registration;
        }
        if (process.bornMillis() <= known) {
            return registration.asLeaving();
        }
        bornMillis.remove(process.endpoint());
        return registration;
    }

    /** Forgets an endpoint whose entry is gone, if a later process of it could not be told from the one that left. */
    void removed(String endpoint) {
        bornMillis.remove(endpoint, 0L);
    }
}
