package org.gooseberryring.coordination.limit;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Content of the store object {@code limits/quotas}.
 *
 * <p>An organisation that is removed from the configuration remains in the document without keepers, so that adding it
 * again does not grant a second full burst.
 *
 * @param revision highest configuration revision that any writer has applied; a host with an older revision must not
 *     raise quotas
 * @param keepers keepers by host
 * @param organisations quotas by organisation and host
 */
public record QuotaDocument(
        long revision,
        SortedMap<String, KeeperEntry> keepers,
        SortedMap<String, SortedMap<String, Quota>> organisations) {
    public QuotaDocument {
        keepers = Collections.unmodifiableSortedMap(keepers == null ? new TreeMap<>() : new TreeMap<>(keepers));
        SortedMap<String, SortedMap<String, Quota>> copy = new TreeMap<>();
        if (organisations != null) {
            organisations.forEach((organisation, quotas) ->
                    copy.put(organisation, Collections.unmodifiableSortedMap(new TreeMap<>(quotas))));
        }
        organisations = Collections.unmodifiableSortedMap(copy);
    }

    /** Returns an empty document. */
    public static QuotaDocument empty() {
        return new QuotaDocument(0, null, null);
    }

    /** Returns the quotas of one host by organisation. */
    public SortedMap<String, Quota> of(String host) {
        SortedMap<String, Quota> result = new TreeMap<>();
        organisations.forEach((organisation, quotas) -> {
            Quota quota = quotas.get(host);
            if (quota != null) {
                result.put(organisation, quota);
            }
        });
        return result;
    }

    /** Returns the tokens per second that count against an organisation's rate. */
    public long rateOf(String organisation) {
        return organisations.getOrDefault(organisation, Collections.emptySortedMap()).values().stream()
                .mapToLong(Quota::rate)
                .sum();
    }

    /** Returns the tokens that count against an organisation's burst. */
    public long burstOf(String organisation) {
        return organisations.getOrDefault(organisation, Collections.emptySortedMap()).values().stream()
                .mapToLong(Quota::burst)
                .sum();
    }
}
