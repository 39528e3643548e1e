package org.gooseberryring.coordination.path;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Tracks which endpoints this host reaches itself, and selects hosts that pass requests on to the others.
 *
 * <p>A connection that cannot be opened marks the path to its endpoint as down. Requests to the endpoint then go through
 * another host, and checks that only open a connection find out when the path is back. A failure also causes checks of a
 * few other endpoints, and each of these that fails causes further ones, so that the loss of all paths is detected
 * without requests, and the loss of one endpoint costs a few checks only. All methods are called from one thread.
 */
public final class EndpointPaths {
    /** Endpoints that are checked after the path to another one has failed. */
    private static final int SAMPLE_SIZE = 4;

    /** Maximum number of checks in progress. */
    private static final int MAX_CHECKS = 16;

    /** Time after which a check that has no result is repeated. */
    private static final long CHECK_TIMEOUT_MILLIS = 2_000;

    private static final long MIN_CHECK_INTERVAL_MILLIS = 300;
    private static final long MAX_CHECK_INTERVAL_MILLIS = 1_500;

    /** Time for which a successful check needs no repetition. */
    private static final long CHECKED_VALID_MILLIS = 1_000;

    /** Time for which a path counts as sound after a successful check while the next one is in progress. */
    private static final long SOUND_VALID_MILLIS = 3_000;

    /** Number of endpoints that must be unreachable before this host considers itself isolated. */
    private static final int MIN_ISOLATED = 2;

    /** Number of paths that fail without a successful check between them after which the host counts as isolated. */
    private static final int ISOLATED_FAILURES = 8;

    /** Maximum number of unreachable endpoints that are reported. */
    private static final int MAX_REPORTED = 64;

    private final Random random;
    private final RelayHosts relays;
    private final Set<String> endpoints = new HashSet<>();
    private final Map<String, Path> suspects = new HashMap<>();
    private final Map<String, Long> reachedAt = new HashMap<>();
    private final Set<String> down = new HashSet<>();
    private int failuresInRow;

    /** State of a path that is down or must be checked. */
    private static final class Path {
        private long nextCheckAt;
        private long intervalMillis = MIN_CHECK_INTERVAL_MILLIS;
        private long checkStartedAt = Long.MIN_VALUE;

        private Path(long nextCheckAt) {
            this.nextCheckAt = nextCheckAt;
        }

        private boolean isInProgress() {
            return checkStartedAt != Long.MIN_VALUE;
        }
    }

    /**
     * Creates the paths of a host that knows no endpoint.
     *
     * @param failureDomain failure domain of this host; hosts in the same one are preferred
     * @param random source of the random choices, seeded by the caller
     */
    public EndpointPaths(String failureDomain, Random random) {
        this.random = random;
        this.relays = new RelayHosts(failureDomain, random);
    }

    /** Adds an endpoint, or a new process of one, whose path counts as up; it is checked if other paths are down. */
    public void onEndpointAdded(String endpoint, long now) {
        endpoints.add(endpoint);
        forget(endpoint);
        if (!down.isEmpty()) {
            suspects.put(endpoint, new Path(now));
        }
    }

    /** Removes an endpoint. */
    public void onEndpointRemoved(String endpoint) {
        endpoints.remove(endpoint);
        forget(endpoint);
    }

    /** Handles that this host could not open a connection to an endpoint. */
    public void onConnectFailed(String endpoint, long now) {
        if (!endpoints.contains(endpoint)) {
            return;
        }
        Path path = suspects.computeIfAbsent(endpoint, key -> new Path(now));
        path.nextCheckAt = Math.max(path.nextCheckAt, now + path.intervalMillis);
        markDown(endpoint, now);
    }

    /** Requests a check of the path to an endpoint that has not responded for long. */
    public void requestCheck(String endpoint, long now) {
        if (endpoints.contains(endpoint) && !isReachedLately(endpoint, now)) {
            suspects.putIfAbsent(endpoint, new Path(now));
        }
    }

    /** Returns the endpoints whose paths must be checked now; the result of each is awaited. */
    public List<String> takeChecks(long now) {
        if (suspects.isEmpty()) {
            return List.of();
        }
        List<String> due = new ArrayList<>();
        long inProgress = suspects.values().stream().filter(Path::isInProgress).count();
        for (Map.Entry<String, Path> each : suspects.entrySet()) {
            Path path = each.getValue();
            boolean lost = path.isInProgress() && now - path.checkStartedAt >= CHECK_TIMEOUT_MILLIS;
            if (lost || !path.isInProgress() && now >= path.nextCheckAt && inProgress < MAX_CHECKS) {
                inProgress += lost ? 0 : 1;
                path.checkStartedAt = now;
                due.add(each.getKey());
            }
        }
        return due;
    }

    /** Handles the result of a check. */
    public void onChecked(String endpoint, boolean connected, long now) {
        Path path = suspects.get(endpoint);
        if (path == null) {
            return;
        }
        if (connected) {
            forget(endpoint);
            failuresInRow = 0;
            reachedAt.put(endpoint, now);
            return;
        }
        path.checkStartedAt = Long.MIN_VALUE;
        path.nextCheckAt = now + path.intervalMillis;
        path.intervalMillis = Math.min(MAX_CHECK_INTERVAL_MILLIS, 2 * path.intervalMillis);
        markDown(endpoint, now);
    }

    /** Returns whether this host does not reach an endpoint itself. */
    public boolean isDown(String endpoint) {
        return down.contains(endpoint);
    }

    /** Returns whether the path to an endpoint was checked lately with success, or is not in doubt. */
    public boolean isSound(String endpoint, long now) {
        boolean checked = now - reachedAt.getOrDefault(endpoint, now - SOUND_VALID_MILLIS) < SOUND_VALID_MILLIS;
        return !isDown(endpoint) && (checked || !suspects.containsKey(endpoint));
    }

    /** Returns whether this host reaches none of several endpoints that it has tried. */
    public boolean isIsolated() {
        return down.size() >= MIN_ISOLATED && (down.size() == endpoints.size() || failuresInRow >= ISOLATED_FAILURES);
    }

    /**
     * Returns whether no host reaches an endpoint, as far as is known: no connection to it could be opened by this host,
     * nor by another that has tried. If this host reaches other endpoints, its own failure is enough.
     */
    public boolean isLost(String endpoint, long now) {
        return !isDown(endpoint) || !isIsolated() || relays.anyFailedFor(endpoint, now);
    }

    /** Returns the host through which requests reach an endpoint, null if this host sends them itself. */
    public String relay(String endpoint, long now) {
        return isDown(endpoint) ? relays.choose(endpoint, now) : null;
    }

    /** Returns whether requests may be sent to an endpoint, by this host or through another one. */
    public boolean isUsable(String endpoint, long now) {
        return !isDown(endpoint) || !isIsolated() || relays.choose(endpoint, now) != null;
    }

    /** Returns the address at which a host takes requests of other hosts, null if it is not known. */
    public String relayAddress(String host) {
        return relays.address(host);
    }

    /** Counts a request that is sent through another host. */
    public void onRelayStarted(String host) {
        relays.onStarted(host);
    }

    /** Handles the end of a request that was sent through another host. */
    public void onRelayEnded(String host) {
        relays.onEnded(host);
    }

    /** Handles that another host has not passed a request on to an endpoint. */
    public void onRelayFailed(String host, String endpoint, RelayFailure failure, long now) {
        relays.onFailed(host, endpoint, failure, now);
    }

    /** Handles the report of another host. The loss of its paths is a reason to check some of this host's. */
    public void onHostReport(String host, HostReach report, long now) {
        boolean wasIsolated = relays.anyIsolated();
        relays.onReport(host, report, now);
        if (report.isolated() && !wasIsolated) {
            checkOthers(now);
        }
    }

    /** Removes a host that is gone. */
    public void onHostRemoved(String host) {
        relays.onHostRemoved(host);
    }

    /** Updates the milliseconds since the last sign of life of each other host. */
    public void setHostAges(Map<String, Long> ages, long now) {
        relays.setAges(ages, now);
    }

    /** Returns the report of this host for the others. */
    public OwnReach reach() {
        if (down.isEmpty()) {
            return OwnReach.ALL;
        }
        Set<String> reported = new HashSet<>();
        down.stream().sorted().limit(MAX_REPORTED).forEach(reported::add);
        return new OwnReach(isIsolated(), reported);
    }

    private void markDown(String endpoint, long now) {
        reachedAt.remove(endpoint);
        if (down.add(endpoint)) {
            failuresInRow++;
            checkOthers(now);
        }
    }

    /** Schedules checks of a few endpoints that were not reached lately. */
    private void checkOthers(long now) {
        List<String> others = new ArrayList<>();
        for (String endpoint : endpoints) {
            if (!isReachedLately(endpoint, now) && !suspects.containsKey(endpoint)) {
                others.add(endpoint);
            }
        }
        Collections.sort(others);
        Collections.shuffle(others, random);
        others.stream().limit(SAMPLE_SIZE).forEach(endpoint -> suspects.put(endpoint, new Path(now)));
    }

    private boolean isReachedLately(String endpoint, long now) {
        return now - reachedAt.getOrDefault(endpoint, now - CHECKED_VALID_MILLIS) < CHECKED_VALID_MILLIS;
    }

    private void forget(String endpoint) {
        suspects.remove(endpoint);
        down.remove(endpoint);
        reachedAt.remove(endpoint);
    }
}
