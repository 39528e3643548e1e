package org.gooseberryring.host.control;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import org.gooseberryring.coordination.route.HolderId;

/**
 * Content of the store object {@code credits/{domain}}.
 *
 * <p>The entry of an endpoint stays when the endpoint is removed, so that adding it again does not begin at the first
 * term, in which nobody can hold credits yet.
 *
 * @param homes homes by endpoint
 * @param roster processes that may hold credits
 */
public record CreditDocument(SortedMap<String, Home> homes, List<HolderId> roster) {
    /**
     * Home of one endpoint.
     *
     * @param process process that grants, or null if the last one has stopped
     * @param term rises with each change of the process
     * @param predecessors earlier homes that are not known to have stopped
     */
    public record Home(HolderId process, long term, List<HolderId> predecessors) {
        public Home {
            predecessors = predecessors == null ? List.of() : List.copyOf(predecessors);
        }
    }

    public CreditDocument {
        homes = Collections.unmodifiableSortedMap(homes == null ? new TreeMap<>() : new TreeMap<>(homes));
        roster = roster == null ? List.of() : List.copyOf(roster);
    }

    /** Returns a document without homes. */
    public static CreditDocument empty() {
        return new CreditDocument(null, null);
    }
}
