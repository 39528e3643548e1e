package org.gooseberryring.host.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Hosts that control the endpoints of the failure domains, as far as this host has heard.
 *
 * <p>Belongs to the control thread.
 */
final class Controllers {
    /** A controller that was not heard of for this long is not asked. */
    private static final long SILENT_MILLIS = 4_000;

    private final Map<String, Controller> byDomain = new HashMap<>();

    private record Controller(String host, long term, long heardAt) {}

    /** Notes that a host controls a failure domain; returns false if a later controller is known. */
    boolean heard(String failureDomain, String host, long term, long now) {
        Controller known = byDomain.get(failureDomain);
        if (known != null && known.term() > term) {
            return false;
        }
        byDomain.put(failureDomain, new Controller(host, term, now));
        return true;
    }

    /** Notes how long ago hosts gave a sign of life; returns the failure domains whose controllers live. */
    List<String> heard(Map<String, Long> ages, long now) {
        byDomain.replaceAll((domain, known) -> {
            Long age = ages.get(known.host());
            return age == null ? known : new Controller(known.host(), known.term(), now - age);
        });
        return byDomain.entrySet().stream()
                .filter(entry -> lives(entry.getValue(), now))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the fencing number of the last known controller of a failure domain, 0 if none is known. */
    long term(String failureDomain) {
        Controller known = byDomain.get(failureDomain);
        return known == null ? 0 : known.term();
    }

    /** Returns whether a host is the last known controller of a failure domain, under the given fencing number. */
    boolean isController(String failureDomain, String host, long term) {
        Controller known = byDomain.get(failureDomain);
        return known != null && known.host().equals(host) && known.term() == term;
    }

    /** Returns the living controllers of failure domains, in their order. */
    List<String> of(List<String> failureDomains, long now) {
        return failureDomains.stream()
                .map(byDomain::get)
                .filter(Objects::nonNull)
                .filter(known -> lives(known, now))
                .map(Controller::host)
                .toList();
    }

    private static boolean lives(Controller known, long now) {
        return now - known.heardAt() <= SILENT_MILLIS;
    }
}
