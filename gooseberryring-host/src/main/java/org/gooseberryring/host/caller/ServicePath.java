package org.gooseberryring.host.caller;

import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.ServiceRoute;

/**
 * Path of a request to a plain service.
 *
 * @param route service that the path names
 * @param subpath path below the service, beginning with a slash
 */
record ServicePath(ServiceRoute route, String subpath) {
    /** Prefix of the paths of all plain services. */
    static final String PREFIX = "/services/";

    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");
    // A service could interpret these differently from the prefix check and so serve a path that requires an API key.
    private static final List<String> AMBIGUOUS_SEQUENCES =
            List.of("//", "/./", "/../", "\\", ";", "%2f", "%5c", "%2e", "%3b", "%00", "%25");

    /** Parses a raw path that begins with {@link #PREFIX}. */
    static ServicePath parse(String rawPath, FleetConfiguration configuration) {
        String lower = rawPath.toLowerCase(Locale.ROOT);
        boolean ambiguous = lower.endsWith("/..") || lower.endsWith("/.");
        if (ambiguous || AMBIGUOUS_SEQUENCES.stream().anyMatch(lower::contains)) {
            throw refused(ErrorCode.INVALID_REQUEST, "The path is ambiguous");
        }
        String withoutPrefix = rawPath.substring(PREFIX.length());
        int slash = withoutPrefix.indexOf('/');
        String id = slash < 0 ? withoutPrefix : withoutPrefix.substring(0, slash);
        ServiceRoute route = configuration.services().get(id);
        if (route == null) {
            throw refused(ErrorCode.NOT_FOUND, "The service does not exist");
        }
        return new ServicePath(route, slash < 0 ? "/" : withoutPrefix.substring(slash));
    }

    boolean isOpen() {
        return matches(route.openPaths());
    }

    boolean isIdempotent(String method) {
        return SAFE_METHODS.contains(method) || matches(route.idempotentPaths());
    }

    private boolean matches(List<String> prefixes) {
        return prefixes.stream().anyMatch(this::isBelow);
    }

    /** Matches complete path segments only, so that {@code /status} does not open {@code /status-change}. */
    private boolean isBelow(String prefix) {
        String p = prefix.startsWith("/") ? prefix : "/" + prefix;
        String directory = p.endsWith("/") ? p : p + "/";
        return subpath.equals(p) || subpath.startsWith(directory);
    }

    private static RefusedException refused(ErrorCode code, String detail) {
        return new RefusedException(Refusal.of(code, detail));
    }
}
