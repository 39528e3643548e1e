package org.gooseberryring.coordination.stream;

import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Streams that a host began in services with several software versions, in the form that the store keeps.
 *
 * @param services keys of the streams by service and software version; a version in service is present without any stream
 */
public record StreamTable(SortedMap<String, SortedMap<String, Set<Long>>> services) {
    /** Table of a host whose services all have one software version. */
    public static final StreamTable NONE = new StreamTable(new TreeMap<>());

    /** Returns whether this table has a version or a stream that another one lacks. */
    boolean addsTo(StreamTable other) {
        for (Map.Entry<String, SortedMap<String, Set<Long>>> service : services.entrySet()) {
            Map<String, Set<Long>> known = other.services.get(service.getKey());
            if (known == null) {
                return true;
            }
            for (Map.Entry<String, Set<Long>> version : service.getValue().entrySet()) {
                Set<Long> keys = known.get(version.getKey());
                if (keys == null || !keys.containsAll(version.getValue())) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns whether no service has several software versions. */
    public boolean isEmpty() {
        return services.isEmpty();
    }
}
