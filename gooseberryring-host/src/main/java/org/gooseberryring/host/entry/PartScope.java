package org.gooseberryring.host.entry;

import org.gooseberryring.coordination.crash.RequestPart;

/**
 * Text that states the service and the kind of a part of a request in messages and in the store.
 *
 * <p>Earlier versions of the program take it for the name of a service that no request has, so they keep and pass on the
 * verdicts on whole requests without applying them.
 */
final class PartScope {
    private static final String WHOLE_REQUEST = "#request";

    private PartScope() {}

    /** Returns the scope of a part. */
    static String of(RequestPart part) {
        return part.isWholeRequest() ? part.service() + WHOLE_REQUEST : part.service();
    }

    /** Returns the part with an identifier in a scope. */
    static RequestPart part(String scope, long id) {
        if (!scope.endsWith(WHOLE_REQUEST)) {
            return new RequestPart(scope, id);
        }
        String service = scope.substring(0, scope.length() - WHOLE_REQUEST.length());
        return new RequestPart(service, RequestPart.Kind.WHOLE_REQUEST, id);
    }
}
