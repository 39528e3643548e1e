package org.gooseberryring.host.entry;

import java.util.LinkedHashMap;
import java.util.Map;

import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;

/**
 * Processes of endpoints that are known to be leaving, from their registration, from a response or from another host.
 *
 * <p>A leaving process never gets new work again, even if an older copy of the store or a delayed message contradicts this.
 * A later process of the endpoint is not affected. Not thread-safe; used on the control thread only.
 */
final class LeavingEndpoints {
    /** Maximum number of processes that are kept; beyond it the oldest entry is evicted. */
    private static final int MAX_PROCESSES = 4_096;

    private final Map<String, Long> bornMillis = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_PROCESSES;
        }
    };

    /** Records that a process is leaving; returns whether that was unknown. */
    boolean add(EndpointProcess process) {
        Long known = bornMillis.get(process.endpoint());
        if (known != null && known >= process.bornMillis()) {
            return false;
        }
        bornMillis.put(process.endpoint(), process.bornMillis());
        return true;
    }

    /** Returns the effective registration: leaving if its process or a later one of the endpoint is known to be leaving. */
    EndpointRegistration withLeaving(EndpointRegistration registration) {
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

    /**
     * Handles the removal of a registration. Clears a process with an unknown start time, because a later process of the
     * endpoint could not be distinguished from it.
     */
    void onRemoved(String endpoint) {
        bornMillis.remove(endpoint, 0L);
    }
}
