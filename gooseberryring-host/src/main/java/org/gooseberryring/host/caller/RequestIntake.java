package org.gooseberryring.host.caller;

import java.util.function.Predicate;

import io.undertow.server.HttpServerExchange;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.host.engine.RequestLoop;
import org.gooseberryring.state.ErrorCode;
import org.xnio.IoUtils;

/** Opens requests whose body has arrived and follows their exchange to its end. */
public final class RequestIntake {
    /** Long enough for a burst to drain, short enough not to keep capacity idle. */
    public static final long BUSY_RETRY_MILLIS = 1000;

    private final OpenRequests open;
    private final RequestLoop loop;

    public RequestIntake(OpenRequests open, RequestLoop loop) {
        this.open = open;
        this.loop = loop;
    }

    /**
     * Opens a request.
     *
     * @param offer hands its specification to the request thread; returns false if that has no room
     */
    public void accept(HttpServerExchange exchange, OpenRequest request, Predicate<RequestSpec> offer) {
        open.put(request);
        // Keeps the exchange open after this call, until the request thread has decided.
        exchange.dispatch();
        exchange.addExchangeCompleteListener((e, next) -> {
            ended(request);
            next.proceed();
        });
        CallerWatch.start(exchange, () -> gone(request));
        if (!offer.test(request.spec())) {
            Refusal refusal =
                    Refusal.retry(ErrorCode.OVERLOADED, BUSY_RETRY_MILLIS, "The request queue of this host is full");
            exchange.getIoThread().execute(() -> request.refuse(refusal));
        }
    }

    private void gone(OpenRequest request) {
        // Reported before the close, which ends the exchange and with it the request.
        loop.callerGone(request.spec().id());
        IoUtils.safeClose(request.connection());
    }

    /** Forgets a request after the request thread has handled everything that concerns it. */
    private void ended(OpenRequest request) {
        request.markEnded();
        loop.after(() -> open.remove(request.spec().id()));
    }
}
