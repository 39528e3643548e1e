package org.gooseberryring.host.caller;

import java.util.function.Predicate;

import io.undertow.server.HttpServerExchange;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.host.engine.RequestLoop;
import org.gooseberryring.state.ErrorCode;
import org.xnio.IoUtils;

/** Registers requests whose body has arrived and tracks each exchange until it ends. */
public final class RequestIntake {
    /** Retry delay under overload: long enough for a burst to drain, short enough not to leave capacity idle. */
    public static final long BUSY_RETRY_MILLIS = 1000;

    private static final String IDENTIFIER_TAKEN = "A request with the same identifier is open on this host";

    private final OpenRequests openRequests;
    private final RequestLoop loop;

    public RequestIntake(OpenRequests openRequests, RequestLoop loop) {
        this.openRequests = openRequests;
        this.loop = loop;
    }

    /**
     * Registers a request and passes it to the request thread.
     *
     * @param offer passes the specification to the request thread; returns false if its queue is full
     */
    public void accept(HttpServerExchange exchange, OpenRequest request, Predicate<RequestSpec> offer) {
        if (!openRequests.tryPut(request)) {
            request.refuse(Refusal.retry(ErrorCode.OVERLOADED, BUSY_RETRY_MILLIS, IDENTIFIER_TAKEN));
            return;
        }
        // Keeps the exchange open after this call, until the request thread has decided on the request.
        exchange.dispatch();
        exchange.addExchangeCompleteListener((e, next) -> {
            loop.exchangeEnded(request.spec().id());
            next.proceed();
        });
        CallerWatch.start(exchange, () -> onDisconnect(request));
        if (!offer.test(request.spec())) {
            Refusal refusal =
                    Refusal.retry(ErrorCode.OVERLOADED, BUSY_RETRY_MILLIS, "The request queue of this host is full");
            exchange.getIoThread().execute(() -> request.refuse(refusal));
        }
    }

    private void onDisconnect(OpenRequest request) {
        // Reports the disconnect before the close, because the close ends the exchange and with it the request.
        loop.callerGone(request.spec().id());
        IoUtils.safeClose(request.connection());
    }
}
