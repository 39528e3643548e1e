package org.gooseberryring.coordination.request;

import java.util.List;

import org.gooseberryring.coordination.stream.StreamRecord;
import org.gooseberryring.coordination.stream.StreamReference;
import org.gooseberryring.coordination.stream.StreamVersions;
import org.gooseberryring.state.Verdict;

/** Ensures that a stream is continued only by the software version that began it. */
final class StreamGuard {
    /** Time for which a request waits for a report of the version that began its stream. */
    private static final long FIND_MILLIS = 400;

    private final StreamVersions versions;

    StreamGuard(StreamVersions versions) {
        this.versions = versions;
    }

    void tick(long now) {
        versions.tick(now);
    }

    /** Binds a request that takes up a stream to the version that began it; returns false if that is not known. */
    boolean bind(RequestState state, long now) {
        StreamReference stream = state.spec().handling().stream();
        if (stream == null || !stream.takenUp() || state.softwareVersion() != null) {
            return true;
        }
        state.bind(versions.find(stream, service(state), now));
        return state.softwareVersion() != null;
    }

    /** Returns whether a request whose response broke off may be sent to another endpoint. */
    boolean mayContinue(RequestState state, long now) {
        String version = state.softwareVersion();
        return version == null || versions.mayContinue(version, service(state), now);
    }

    /** Returns whether a request must be rejected, because no report of the version that began its stream can come. */
    boolean isHopeless(RequestState state, long now) {
        return versions.isUncertain(state.spec().handling().stream(), service(state), now)
                || now >= state.arrivedAt() + FIND_MILLIS;
    }

    /** Returns whether a request may have to wait longer than others for its target. */
    boolean mustIsolate(RequestState state, long now) {
        return state.softwareVersion() != null && versions.isMixed(service(state), now);
    }

    /** Handles the start of a response; the request is bound to the version of its endpoint. */
    void onResponseStarted(RequestState state, long now) {
        StreamReference stream = state.spec().handling().stream();
        if (stream != null && state.endpoint() != null) {
            state.bind(state.endpointVersion());
            versions.onBegan(
                    stream, service(state), state.endpoint(), state.endpointVersion(), takenUpUntil(state), now);
        }
    }

    /** Handles the end of an attempt. */
    void onAttemptEnded(RequestState state, AttemptOutcome outcome, long now) {
        StreamReference stream = state.spec().handling().stream();
        boolean hasBroken = outcome.verdict() == Verdict.MAY_HAVE_RUN && !state.isCancelled();
        if (hasBroken && stream != null && state.endpoint() != null) {
            versions.onBroken(stream, service(state), state.endpoint(), now);
        }
    }

    /** Returns the report for the other hosts when a request has ended, empty if they need none. */
    List<RequestEffect> onEnded(RequestState state, Verdict verdict, long now) {
        StreamReference stream = state.spec().handling().stream();
        boolean hasBrokenOff =
                stream != null && stream.hasKey() && state.hasAnyResponseStarted() && verdict != Verdict.COMPLETED;
        if (!hasBrokenOff
                || !versions.isMixed(service(state), now)
                || versions.isUncertain(stream, service(state), now)) {
            return List.of();
        }
        StreamRecord broken = new StreamRecord(
                service(state), stream.key(), state.softwareVersion(), Math.max(0, takenUpUntil(state) - now));
        return List.of(new RequestEffect.SpreadStream(broken));
    }

    private static long takenUpUntil(RequestState state) {
        return state.spec().deadline() + StreamVersions.TAKE_UP_MILLIS;
    }

    private static String service(RequestState state) {
        return state.spec().handling().service();
    }
}
