package org.gooseberryring.host.control;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import org.gooseberryring.coordination.route.HolderId;

/**
 * Content of the store object {@code credits/{domain}}.
 *
 * <p>The entry of an endpoint remains when the endpoint is removed, so that adding it again does not start with the
 * first term, in which no process is assumed to hold credits.
 *
 * @param homes coordinators by endpoint
 * @param roster processes that may hold credits
 */
public record CreditDocument(SortedMap<String, Coordinator> homes, List<HolderId> roster) {
    /**
     * Credit coordinator of one endpoint.
     *
     * @param process process that grants credits, or null if the last one has stopped
     * @param term number that increases with each change of the process
     * @param predecessors earlier coordinators that are not known to have stopped
     */
    public record Coordinator(HolderId process, long term, List<HolderId> predecessors) {
        public Coordinator {
            predecessors = predecessors == null ? List.of() : List.copyOf(predecessors);
        }
    }

    public CreditDocument {
        homes = Collections.unmodifiableSortedMap(homes == null ? new TreeMap<>() : new TreeMap<>(homes));
        roster = roster == null ? List.of() : List.copyOf(roster);
    }

    /** Returns a document without coordinators. */
    public static CreditDocument empty() {
        return new CreditDocument(null, null);
    }
}
