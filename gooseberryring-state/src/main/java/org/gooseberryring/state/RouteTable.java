package org.gooseberryring.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Finds the route of a request by its host name and the longest matching path prefix. */
public final class RouteTable {
    private final Map<String, List<Route>> byHost = new HashMap<>();
    private final int size;

    /** Creates a table of the given routes. */
    public RouteTable(Collection<Route> routes) {
        for (Route route : routes) {
            byHost.computeIfAbsent(route.hostName().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        byHost.values().forEach(list -> list.sort(longestFirst));
        size = routes.size();
    }

    /**
     * Returns the route of a request, or null if there is none.
     *
     * @param hostName value of the Host header, with or without a port
     * @param path undecoded path without the query
     */
    public Route find(String hostName, String path) {
        int colon = hostName.indexOf(':');
        String name = colon < 0 ? hostName : hostName.substring(0, colon);
        for (Route route : byHost.getOrDefault(name.toLowerCase(Locale.ROOT), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return route;
            }
        }
        return null;
    }

    /** Returns the longest time-out of a route whose streams another endpoint may continue, 0 if there is none. */
    public long maxResumableMillis() {
        return byHost.values().stream()
                .flatMap(List::stream)
                .filter(route -> route.kind() == RequestKind.STREAM && route.resumable())
                .mapToLong(Route::timeoutMillis)
                .max()
                .orElse(0);
    }

    /** Returns the number of routes. */
    public int size() {
        return size;
    }
}
