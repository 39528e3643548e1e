package org.gooseberryring.host.entry;

import java.util.List;

import org.gooseberryring.coordination.direct.LimitedRequest;
import org.gooseberryring.coordination.ratelimit.PermitRequest;
import org.gooseberryring.coordination.request.RequestedArtifact;

/** Listener for what the requests of this host need; called on the request thread and must not block. */
interface RequestListener {
    /** Called with the models and adapters that requests wait for and that no endpoint has loaded. */
    void onArtifactsMissing(List<RequestedArtifact> artifacts);

    /** Called with requests for permits of limited endpoints. */
    void onPermitsNeeded(List<PermitRequest> permitRequests);

    /** Called with an endpoint to which a connection must be opened, to find out whether this host reaches it. */
    void onPathCheckNeeded(String endpoint);

    /** Called with a request that the rate limit of an endpoint affects. */
    void onLimited(LimitedRequest request);
}
