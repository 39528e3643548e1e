package org.gooseberryring.host.caller;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.host.HostMetrics;
import org.gooseberryring.host.engine.AttemptGate;
import org.gooseberryring.host.engine.AttemptPath;
import org.gooseberryring.host.engine.RequestLoop;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.Verdict;
import org.gooseberryring.transport.endpoint.AttemptListener;
import org.gooseberryring.transport.endpoint.EndpointAttempt;
import org.gooseberryring.transport.endpoint.EndpointCall;
import org.gooseberryring.transport.endpoint.EndpointClient;
import org.gooseberryring.transport.endpoint.EndpointSignals;
import org.gooseberryring.transport.endpoint.EventTrace;
import org.jboss.logging.Logger;

/** Carries out the effects of the request engine that concern callers and endpoints. */
public final class CallerEffects implements Consumer<RequestEffect> {
    private static final Logger LOG = Logger.getLogger(CallerEffects.class);

    private final OpenRequests openRequests;
    private final Function<String, Endpoint> endpoints;
    private final EndpointClient client;
    private final HostMetrics metrics;
    private final RemoteEffects remoteEffects;
    private final Relays relays;
    private final EndpointRelays endpointRelays;
    private final AttemptGate gate;
    private final EndpointCalls calls;
    private RequestLoop loop;

    /**
     * Creates the effects of the product's own interfaces; {@link #connect} must follow before the first effect.
     *
     * @param endpoints returns an endpoint by its identifier, or null if it is not known
     */
    public CallerEffects(
            OpenRequests openRequests,
            Function<String, Endpoint> endpoints,
            EndpointClient client,
            HostMetrics metrics,
            RemoteEffects remoteEffects,
            Relays relays,
            AttemptGate gate) {
        this(openRequests, endpoints, client, metrics, remoteEffects, relays, null, gate, EndpointCalls::standard);
    }

    /**
     * Creates the effects with a custom preparation of requests to endpoints.
     *
     * @param relays passes requests to other failure domains, null if this host chooses all endpoints itself
     * @param endpointRelays passes requests to endpoints through other hosts, null if it does not
     */
    public CallerEffects(
            OpenRequests openRequests,
            Function<String, Endpoint> endpoints,
            EndpointClient client,
            HostMetrics metrics,
            RemoteEffects remoteEffects,
            Relays relays,
            EndpointRelays endpointRelays,
            AttemptGate gate,
            EndpointCalls calls) {
        this.openRequests = openRequests;
        this.endpoints = endpoints;
        this.client = client;
        this.metrics = metrics;
        this.remoteEffects = remoteEffects;
        this.relays = relays;
        this.endpointRelays = endpointRelays;
        this.gate = gate;
        this.calls = calls;
    }

    /** Sets the request loop that is notified of the outcomes. */
    public void connect(RequestLoop requestLoop) {
        loop = requestLoop;
    }

    @Override
    public void accept(RequestEffect effect) {
        if (effect instanceof RequestEffect.Dispatch dispatch) {
            dispatch(dispatch);
        } else if (effect instanceof RequestEffect.Refuse refuse) {
            refuse(refuse);
        } else if (effect instanceof RequestEffect.Cancel cancel) {
            cancel(cancel);
        } else if (effect instanceof RequestEffect.EndUnstarted end) {
            endUnstarted(end);
        } else if (effect instanceof RequestEffect.Relay relay) {
            relay(relay);
        } else if (effect instanceof RequestEffect.Claim claim) {
            remoteEffects.claim(openRequests.get(claim.requestId()), claim);
        } else if (effect instanceof RequestEffect.SettleClaim settle) {
            remoteEffects.settle(openRequests.get(settle.requestId()), settle);
        } else if (effect instanceof RequestEffect.Replay replay) {
            remoteEffects.replay(openRequests.get(replay.requestId()));
        } else {
            acceptReport(effect);
        }
    }

    /** Carries out an effect that concerns no caller's response. */
    private void acceptReport(RequestEffect effect) {
        if (effect instanceof RequestEffect.SpreadRequestCrash crash) {
            remoteEffects.spreadRequestCrash(crash);
        } else if (effect instanceof RequestEffect.SpreadPartEvent spread) {
            remoteEffects.spreadPartEvent(spread.event());
        } else if (effect instanceof RequestEffect.SpreadStream spread) {
            remoteEffects.spreadStream(spread.stream());
        } else if (effect instanceof RequestEffect.ReadStreams) {
            remoteEffects.readStreams();
        } else if (effect instanceof RequestEffect.StreamTakenUp takenUp) {
            log(takenUp);
        } else if (effect instanceof RequestEffect.ReleaseIdentifier release) {
            openRequests.remove(release.requestId());
        }
    }

    private static void log(RequestEffect.StreamTakenUp takenUp) {
        LogLine.event("stream-version")
                .with("requestId", takenUp.requestId())
                .with("version", takenUp.softwareVersion())
                .info(LOG);
    }

    private void dispatch(RequestEffect.Dispatch dispatch) {
        OpenRequest request = openRequests.get(dispatch.requestId());
        Endpoint endpoint = endpoints.apply(dispatch.endpoint());
        if (request == null || endpoint == null) {
            loop.attemptEnded(dispatch.requestId(), dispatch.attempt(), notRun());
            return;
        }
        EndpointCall call = calls.call(request, endpoint);
        LogLine.event("attempt-started")
                .with("requestId", dispatch.requestId())
                .with("attempt", dispatch.attempt())
                .with("organisation", request.spec().organisation())
                .with("target", request.spec().target())
                .with("endpoint", dispatch.endpoint())
                .with("via", dispatch.via())
                .with("address", endpoint.address())
                .with("failureDomain", endpoint.failureDomain())
                .with("inFlight", dispatch.forecast().inFlight())
                .with("unreadTokens", dispatch.forecast().unreadTokens())
                .with("expectedStartMs", dispatch.forecast().startMillis())
                .debug(LOG);
        BooleanSupplier mayStart = gate.mayStart(request.spec(), endpoint.id());
        AttemptProgress progress = new AttemptProgress(
                request, dispatch.attempt(), endpoint.id(), dispatch.via(), gate.signals(endpoint.id()));
        if (dispatch.via() == null) {
            request.thread().execute(() -> send(client, progress, endpoint.address(), call, mayStart));
        } else {
            sendThrough(dispatch, progress, call, mayStart);
        }
    }

    /** Sends a request to the host that passes it on to its endpoint. */
    private void sendThrough(
            RequestEffect.Dispatch dispatch, AttemptProgress progress, EndpointCall call, BooleanSupplier mayStart) {
        String address = endpointRelays.address(dispatch.via());
        if (address == null) {
            progress.request.thread().execute(() -> progress.onAttemptEnded(notRun().unsent(true), null));
            return;
        }
        EndpointCall wrapped = endpointRelays.wrap(progress.request, dispatch.attempt(), dispatch.endpoint(), call);
        progress.request.thread().execute(() -> send(endpointRelays.client(), progress, address, wrapped, mayStart));
    }

    private void relay(RequestEffect.Relay relay) {
        OpenRequest request = openRequests.get(relay.requestId());
        String address = relays.address(relay.failureDomain());
        if (request == null || address == null) {
            loop.attemptEnded(relay.requestId(), relay.attempt(), notRun());
            return;
        }
        EndpointCall call = relays.call(request, relay.attempt());
        AttemptProgress progress = new AttemptProgress(request, relay.attempt(), null, null, signals -> {});
        request.thread().execute(() -> send(client, progress, address, call, () -> true));
    }

    /** Sends a request to an endpoint or a relay; must run on the I/O thread of the request. */
    private void send(
            EndpointClient sender,
            AttemptProgress progress,
            String address,
            EndpointCall call,
            BooleanSupplier mayStart) {
        OpenRequest request = progress.request;
        if (request.isEnded()) {
            loop.attemptEnded(request.spec().id(), progress.number, notRun());
            return;
        }
        // The caller may disconnect while the request waits for this thread or for the connection to the endpoint.
        BooleanSupplier maySend =
                () -> !request.isEnded() && mayStart.getAsBoolean() && !CallerWatch.hasLeft(request.connection());
        EndpointAttempt attempt = sender.send(address, call, request.thread(), request.sink(), progress, maySend);
        request.setAttempt(progress.number, attempt);
    }

    private void refuse(RequestEffect.Refuse refuse) {
        OpenRequest request = openRequests.get(refuse.requestId());
        if (request != null) {
            request.thread().execute(() -> refuse(request, refuse));
        }
    }

    /** Refuses a request whose response is not complete; must run on the I/O thread of the request. */
    private void refuse(OpenRequest request, RequestEffect.Refuse refuse) {
        if (request.isIncomplete()) {
            reportRefusal(request, refuse);
            request.refuse(refusal(refuse));
        }
    }

    private void reportRefusal(OpenRequest request, RequestEffect.Refuse refuse) {
        metrics.refused(refuse.code().wireName());
        LogLine.event("request-refused")
                .with("requestId", refuse.requestId())
                .with("organisation", request.spec().organisation())
                .with("target", request.spec().target())
                .with("code", refuse.code().wireName())
                .with("verdict", refuse.verdict().wireName())
                .with("retryAfterMs", refuse.retryAfterMillis())
                .with("detail", refuse.detail())
                .debug(LOG);
    }

    private static Refusal refusal(RequestEffect.Refuse refuse) {
        return new Refusal(refuse.code(), refuse.verdict(), refuse.retryAfterMillis(), refuse.detail());
    }

    private void cancel(RequestEffect.Cancel cancel) {
        OpenRequest request = openRequests.get(cancel.requestId());
        if (request != null) {
            request.thread().execute(() -> request.cancelAttempt(cancel.attempt()));
            cancelAtEngine(request, cancel);
        }
    }

    private void cancelAtEngine(OpenRequest request, RequestEffect.Cancel cancel) {
        Endpoint endpoint = endpoints.apply(cancel.endpoint());
        if (endpoint != null && request.destination().kind() == EndpointCall.Kind.MODEL_ENGINE) {
            remoteEffects.cancelAtEngine(endpoint.address(), cancel.requestId());
        }
    }

    private void endUnstarted(RequestEffect.EndUnstarted end) {
        OpenRequest request = openRequests.get(end.requestId());
        if (request != null) {
            request.thread().execute(() -> endUnstarted(request, end));
        }
    }

    /** Ends an attempt unless its response has started; must run on the I/O thread of the request, which starts it. */
    private void endUnstarted(OpenRequest request, RequestEffect.EndUnstarted end) {
        if (isVoid(request, end)) {
            metrics.counter("ends.void").inc();
            LogLine.event("end-void")
                    .with("requestId", end.requestId())
                    .with(
                            "code",
                            end.refusal() == null ? null : end.refusal().code().wireName())
                    .debug(LOG);
            return;
        }
        if (end.refusal() != null) {
            refuse(request, end.refusal());
        }
        if (end.cancel() != null) {
            request.cancelAttempt(end.cancel().attempt());
            cancelAtEngine(request, end.cancel());
        }
    }

    /** Returns whether what is to end has started: the whole response, or the part that the attempt adds to it. */
    private static boolean isVoid(OpenRequest request, RequestEffect.EndUnstarted end) {
        return end.refusal() == null ? request.hasAttemptStarted(end.cancel().attempt()) : request.hasResponseStarted();
    }

    private static AttemptOutcome notRun() {
        return new AttemptOutcome(Verdict.NOT_RUN, 0, 0, false, false, -1);
    }

    private final class AttemptProgress implements AttemptListener {
        private final OpenRequest request;
        private final int number;
        private final String endpoint;
        private final String via;
        private final Consumer<EndpointSignals> signalConsumer;
        private final long startedNanos = System.nanoTime();
        private boolean rejectedByRelay;

        /**
         * Creates the listener of one attempt; {@code endpoint} is null for a relay, {@code via} unless another host
         * passes the request on to the endpoint.
         */
        private AttemptProgress(
                OpenRequest request,
                int number,
                String endpoint,
                String via,
                Consumer<EndpointSignals> signalConsumer) {
            this.request = request;
            this.number = number;
            this.endpoint = endpoint;
            this.via = via;
            this.signalConsumer = signalConsumer;
        }

        @Override
        public void onSignalsReceived(EndpointSignals signals) {
            signalConsumer.accept(signals);
        }

        @Override
        public void onRejectedByRelay() {
            rejectedByRelay = true;
        }

        @Override
        public void onResponseStarted() {
            loop.onResponseStarted(request.spec().id(), number);
        }

        @Override
        public void onAttemptEnded(AttemptOutcome outcome, byte[] recorded) {
            if (outcome.verdict() == Verdict.COMPLETED) {
                request.record(outcome.status(), recorded);
            }
            metrics.attemptEnded(outcome.verdict(), System.nanoTime() - startedNanos);
            log(outcome);
            AttemptPath path = new AttemptPath(endpoint, via, rejectedByRelay);
            AttemptOutcome reported = endpoint == null ? outcome : gate.attemptEnded(request.spec(), path, outcome);
            loop.attemptEnded(request.spec().id(), number, reported);
        }

        private void log(AttemptOutcome outcome) {
            LogLine line = LogLine.event("attempt-ended")
                    .with("requestId", request.spec().id())
                    .with("attempt", number)
                    .with("endpoint", endpoint)
                    .with("via", via)
                    .with("rejectedByVia", via == null ? null : rejectedByRelay)
                    .with("verdict", outcome.verdict().wireName())
                    .with("status", outcome.status())
                    .with("sent", outcome.sent())
                    .with("lost", outcome.endpointLost())
                    .with("firstByteMs", outcome.firstTokenMillis())
                    .with("ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos));
            if (request.events() != null) {
                addEvents(line, request.events().takeTrace());
            }
            line.debug(LOG);
        }

        private void addEvents(LogLine line, EventTrace trace) {
            line.with("events", trace.passedOn())
                    .with("firstEvent", trace.firstId())
                    .with("lastEvent", trace.lastId())
                    .with("jumps", trace.jumps())
                    .with("skipped", trace.skipped())
                    .with("emptyBlocks", trace.emptyBlocks());
            if (trace.fault() != null) {
                line.with("fault", trace.fault().logName());
                metrics.counter("events.faulty." + trace.fault().logName()).inc();
            }
        }
    }
}
