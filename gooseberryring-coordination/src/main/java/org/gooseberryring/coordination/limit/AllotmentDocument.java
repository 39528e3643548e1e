package org.gooseberryring.coordination.limit;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Content of the store object {@code limits/allotments}.
 *
 * <p>The organisation of a removed configuration entry stays without keepers, so that adding it again does not hand out
 * a second full burst.
 *
 * @param revision highest revision of the configuration that a writer followed; an older one must not raise allotments
 * @param keepers keepers by host
 * @param organisations allotments by organisation and host
 */
public record AllotmentDocument(
        long revision,
        SortedMap<String, KeeperEntry> keepers,
        SortedMap<String, SortedMap<String, Allotment>> organisations) {
    public AllotmentDocument {
        keepers = Collections.unmodifiableSortedMap(keepers == null ? new TreeMap<>() : new TreeMap<>(keepers));
        SortedMap<String, SortedMap<String, Allotment>> copy = new TreeMap<>();
        if (organisations != null) {
            organisations.forEach((organisation, allotments) ->
                    copy.put(organisation, Collections.unmodifiableSortedMap(new TreeMap<>(allotments))));
        }
        organisations = Collections.unmodifiableSortedMap(copy);
    }

    /** Returns a document without keepers. */
    public static AllotmentDocument empty() {
        return new AllotmentDocument(0, null, null);
    }

    /** Returns the allotments of one host by organisation. */
    public SortedMap<String, Allotment> of(String host) {
        SortedMap<String, Allotment> result = new TreeMap<>();
        organisations.forEach((organisation, allotments) -> {
            Allotment allotment = allotments.get(host);
            if (allotment != null) {
                result.put(organisation, allotment);
            }
        });
        return result;
    }

    /** Returns the tokens per second that count against an organisation. */
    public long rateOf(String organisation) {
        return organisations.getOrDefault(organisation, Collections.emptySortedMap()).values().stream()
                .mapToLong(Allotment::rate)
                .sum();
    }

    /** Returns the tokens that count against an organisation's burst. */
    public long burstOf(String organisation) {
        return organisations.getOrDefault(organisation, Collections.emptySortedMap()).values().stream()
                .mapToLong(Allotment::burst)
                .sum();
    }
}
