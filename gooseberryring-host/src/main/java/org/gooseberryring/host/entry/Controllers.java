package org.gooseberryring.host.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Last known controllers of the failure domains, the hosts that send orders to their endpoints.
 *
 * <p>Not thread-safe; used on the control thread only.
 */
final class Controllers {
    /** Time without a sign of life after which a controller counts as unreachable. */
    private static final long CONTROLLER_TIMEOUT_MILLIS = 4_000;

    private final Map<String, Controller> byDomain = new HashMap<>();

    private record Controller(String host, long term, long heardAt) {}

    /** Records the controller of a failure domain; returns false if a later controller is known. */
    boolean recordController(String failureDomain, String host, long term, long now) {
        Controller known = byDomain.get(failureDomain);
        if (known != null && known.term() > term) {
            return false;
        }
        byDomain.put(failureDomain, new Controller(host, term, now));
        return true;
    }

    /**
     * Updates when controllers last gave a sign of life, from the ages of these signs by host in milliseconds.
     *
     * @return failure domains whose controllers are alive
     */
    List<String> updateAges(Map<String, Long> ages, long now) {
        byDomain.replaceAll((domain, known) -> {
            Long age = ages.get(known.host());
            return age == null ? known : new Controller(known.host(), known.term(), now - age);
        });
        return byDomain.entrySet().stream()
                .filter(entry -> isAlive(entry.getValue(), now))
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

    /** Returns the controllers of the failure domains that are alive, in the order of the domains. */
    List<String> alive(List<String> failureDomains, long now) {
        return failureDomains.stream()
                .map(byDomain::get)
                .filter(Objects::nonNull)
                .filter(known -> isAlive(known, now))
                .map(Controller::host)
                .toList();
    }

    private static boolean isAlive(Controller known, long now) {
        return now - known.heardAt() <= CONTROLLER_TIMEOUT_MILLIS;
    }
}
