package org.gooseberryring.coordination.crash;

import org.gooseberryring.state.EndpointProcess;

/**
 * Loss of an endpoint that was running a request, as a host reports it to the others.
 *
 * @param digest digest of the request
 * @param losses losses of endpoints that the reporting host has counted for the digest
 * @param process process that crashed, null if the loss is no evidence against the request
 * @param request the request as a part, null if the loss is no evidence against the request
 */
public record RequestCrash(String digest, int losses, EndpointProcess process, RequestPart request) {
    /** Returns a loss that only counts, because the endpoint may have ended as planned or its process is not known. */
    public static RequestCrash withoutEvidence(String digest, int losses) {
        return new RequestCrash(digest, losses, null, null);
    }
}
