package org.gooseberryring.transport.endpoint;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The numberings of all services; may be used on any thread. */
public final class EventNumberings {
    private final Map<String, EventNumbering> byService = new ConcurrentHashMap<>();

    /** Returns the numbering of a service; services are those of the configuration, so that there are few. */
    public EventNumbering of(String service) {
        return byService.computeIfAbsent(service, s -> new EventNumbering());
    }
}
