package org.gooseberryring.host.entry;

import java.io.IOException;
import java.lang.reflect.Field;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import org.gooseberryring.state.RequestLimits;
import org.gooseberryring.transport.http.HttpWorker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class FrontListenerTest {
    private static final int ROUNDS = 25;
    private static final int CALLERS = 64;
    private static final int IO_THREADS = 4;
    private static final int KEPT_REQUESTS = 10;
    private static final long RESPONSE_MILLIS = 1;
    private static final RequestLimits LIMITS = new RequestLimits(16_384, 1_000_000, 3_000, 15_000);

    private final HttpWorker worker = HttpWorker.start("front", IO_THREADS, 1);
    private final FrontListener listener =
            new FrontListener(worker, new InetSocketAddress("127.0.0.1", 0), 4 * CALLERS, LIMITS, this::handle);
    private final Set<String> taken = ConcurrentHashMap.newKeySet();
    private final List<Integer> closeListeners = new CopyOnWriteArrayList<>();

    @AfterEach
    void stop() {
        listener.close();
        worker.close();
    }

    /** Guards against a stop that closes a connection as idle whose next request has just been taken. */
    @Test
    void requestThatIsTakenWhileIdleConnectionsCloseIsAnswered() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            List<RawCaller> callers = idleCallers();
            CountDownLatch start = new CountDownLatch(1);
            int number = round;
            CompletableFuture<Void> requests = CompletableFuture.runAsync(() -> sendAll(callers, number, start));
            start.await();
            listener.closeIdle();
            requests.join();
            for (int i = 0; i < CALLERS; i++) {
                checkAnswered(callers.get(i), path(round, i));
            }
        }
    }

    /** Guards against a connection that holds more memory with each request of its caller. */
    @Test
    void keptConnectionHasNoMoreCloseListenersWithEachRequest() throws Exception {
        try (RawCaller caller = new RawCaller(listener.address().getPort())) {
            for (int i = 0; i < KEPT_REQUESTS; i++) {
                caller.get(path(0, i));
                caller.readTo("done");
            }
        }

        assertThat(closeListeners).hasSize(KEPT_REQUESTS);
        assertThat(closeListeners.get(KEPT_REQUESTS - 1)).isEqualTo(closeListeners.get(1));
    }

    private List<RawCaller> idleCallers() throws Exception {
        List<RawCaller> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            RawCaller caller = new RawCaller(listener.address().getPort());
            caller.get("/first");
            caller.readTo("done");
            callers.add(caller);
        }
        return callers;
    }

    private void sendAll(List<RawCaller> callers, int round, CountDownLatch start) {
        start.countDown();
        for (int i = 0; i < CALLERS; i++) {
            try {
                callers.get(i).get(path(round, i));
            } catch (IOException e) {
                // The connection was closed before the request.
            }
        }
    }

    private void checkAnswered(RawCaller caller, String path) throws Exception {
        String response;
        try {
            response = caller.readTo("done");
        } catch (IOException e) {
            response = e.toString();
        }
        caller.close();
        if (taken.contains(path)) {
            assertWithMessage("response to the request for " + path)
                    .that(response)
                    .endsWith("done");
        }
    }

    private void handle(HttpServerExchange exchange) {
        taken.add(exchange.getRequestPath());
        closeListeners.add(closeListeners(exchange.getConnection()));
        exchange.dispatch(
                later -> exchange.getIoThread().executeAfter(later, RESPONSE_MILLIS, TimeUnit.MILLISECONDS),
                () -> exchange.getResponseSender().send("done"));
    }

    private static int closeListeners(ServerConnection connection) {
        try {
            Field field = AbstractServerConnection.class.getDeclaredField("closeListeners");
            field.setAccessible(true);
            return ((List<?>) field.get(connection)).size();
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(e);
        }
    }

    private static String path(int round, int caller) {
        return "/" + round + "/" + caller;
    }
}
