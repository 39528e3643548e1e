package org.gooseberryring.coordination.stream;

import java.util.List;
import java.util.Random;

import org.gooseberryring.coordination.crash.CrashingParts;
import org.gooseberryring.coordination.direct.DirectRouter;
import org.gooseberryring.coordination.direct.PermittedChoice;
import org.gooseberryring.coordination.limit.SharedLimits;
import org.gooseberryring.coordination.path.EndpointPaths;
import org.gooseberryring.coordination.queue.QueueSettings;
import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.FairRequestQueue;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestEngine;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.retry.CrashSuspects;
import org.gooseberryring.coordination.retry.RetryAllowance;
import org.gooseberryring.coordination.retry.RouteRetries;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.Verdict;

/** Process of an entry host in a {@link StreamWorld}. */
final class StreamHost {
    private final DirectRouter router;
    private final StreamVersions versions = new StreamVersions();
    private final StoredStreams stored;
    private final RequestEngine engine;
    private final long startedAt;
    private int registryPosition;

    StreamHost(String name, int hosts, long streamMillis, long seed, long now) {
        router = new DirectRouter("a", new PermittedChoice(new Random(seed)), new EndpointPaths("a", new Random(seed)));
        versions.setStreamMillis(streamMillis);
        stored = new StoredStreams("streams", name, table -> new byte[0]);
        startedAt = now;
        RouteRetries retries = new RouteRetries(new RetryAllowance(10_000, 0.2, 1_000));
        retries.setHostCount(hosts);
        engine = new RequestEngine(
                new SharedLimits(8_000),
                new FairRequestQueue(QueueSettings.defaults()),
                router,
                retries,
                new CrashSuspects(1_000),
                new CrashingParts(name),
                versions,
                600_000);
    }

    long startedAt() {
        return startedAt;
    }

    /** Returns and advances the number of changes of the registry that this host has applied. */
    int nextChange() {
        return registryPosition++;
    }

    int changes() {
        return registryPosition;
    }

    List<RequestEffect> onRegistered(EndpointRegistration registration, long now) {
        router.onEndpointRegistered(registration, now);
        versions.onRegistered(registration, now);
        return engine.changed(now);
    }

    List<RequestEffect> onRemoved(String endpoint, long now) {
        router.onEndpointRemoved(endpoint);
        versions.onRemoved(endpoint, now);
        return engine.changed(now);
    }

    void setRegistryCurrent(boolean current) {
        versions.setRegistryCurrent(current);
    }

    List<RequestEffect> arrived(RequestSpec spec, long now) {
        return engine.arrived(spec, now);
    }

    List<RequestEffect> tick(long now) {
        stored.setTable(versions.table(now));
        return engine.tick(now);
    }

    List<RequestEffect> onResponseStarted(String requestId, int attempt, long now) {
        return engine.onResponseStarted(requestId, attempt, now);
    }

    List<RequestEffect> onCompleted(String requestId, int attempt, long now) {
        return engine.attemptEnded(
                requestId, attempt, new AttemptOutcome(Verdict.COMPLETED, 200, 0, true, false, 10), now);
    }

    /** Handles the break of an attempt; {@code begun} is whether its response had begun. */
    List<RequestEffect> onBroken(String requestId, int attempt, boolean begun, long now) {
        return engine.attemptEnded(
                requestId,
                attempt,
                new AttemptOutcome(Verdict.MAY_HAVE_RUN, begun ? 200 : 0, 0, begun, true, begun ? 10 : -1),
                now);
    }

    List<RequestEffect> onCallerGone(String requestId, long now) {
        return engine.callerGone(requestId, now);
    }

    List<RequestEffect> onReported(StreamRecord stream, long now) {
        versions.onReported(stream, now);
        return engine.streamsReported(now);
    }

    StoredStreams stored() {
        return stored;
    }

    List<RequestEffect> onRead(List<StoredStreams.ReadTable> tables, boolean complete, long now) {
        tables.forEach(each -> versions.onStored(each.table(), each.own(), now));
        if (complete) {
            versions.onStoreRead();
            stored.onAdopted();
        }
        return engine.streamsReported(now);
    }

    /** Returns the streams that the store must have. */
    StreamTable table(long now) {
        return versions.table(now);
    }
}
