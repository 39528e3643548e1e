package org.gooseberryring.standins;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class PlatformStandInTest {
    private static final String HEAD = "/v1/objects/config/head";

    private final PlatformStandIn platform = new PlatformStandIn(0).start();
    private final TestCaller caller = new TestCaller(platform.address());

    @AfterEach
    void close() {
        platform.close();
    }

    /** Guards against lost updates: a write must state the current version of the object. */
    @Test
    void writeRequiresCurrentVersion() {
        HttpResponse<String> created = put("a", "If-None-Match", "*");
        String version = etag(created);

        assertThat(created.statusCode()).isEqualTo(201);
        assertThat(put("b", "If-None-Match", "*").statusCode()).isEqualTo(412);
        assertThat(put("b", "If-Match", version).statusCode()).isEqualTo(200);
        HttpResponse<String> conflict = put("c", "If-Match", version);
        assertThat(conflict.statusCode()).isEqualTo(412);
        HttpResponse<String> read = caller.call("GET", HEAD, "");
        assertThat(read.body()).isEqualTo("b");
        assertThat(etag(conflict)).isEqualTo(etag(read));
        assertThat(caller.call("PUT", HEAD, "d").statusCode()).isEqualTo(428);
        assertThat(caller.call("GET", "/v1/objects?prefix=config/", "").body()).isEqualTo("[\"config/head\"]");
        assertThat(caller.call("DELETE", HEAD, "", "If-Match", etag(read)).statusCode())
                .isEqualTo(204);
        assertThat(caller.call("GET", HEAD, "").statusCode()).isEqualTo(404);
    }

    /** Guards against a watch that misses a write or never times out. */
    @Test
    void watchEndsOnNextWriteOrTimeout() {
        String version = etag(put("a", "If-None-Match", "*"));
        String watch = HEAD + "?after=" + version.replace("\"", "");
        CompletableFuture<HttpResponse<String>> pending = caller.begin("GET", watch + "&waitMillis=9000", "");

        put("b", "If-Match", version);

        assertThat(pending.join().body()).isEqualTo("b");
        String next = etag(pending.join()).replace("\"", "");
        assertThat(caller.call("GET", HEAD + "?after=" + next + "&waitMillis=20", "")
                        .statusCode())
                .isEqualTo(304);
    }

    /** Guards against tests of lost responses in which the write has no effect or its response arrives. */
    @Test
    void lostResponseFollowsAppliedWrite() {
        platform.faults().set(InjectedFault.LOSE_ANSWERS, 1);

        assertThrows(CompletionException.class, () -> put("a", "If-None-Match", "*"));

        assertThat(caller.call("GET", HEAD, "").body()).isEqualTo("a");
        assertThat(platform.record().lostAnswers()).isEqualTo(1);
    }

    /** Guards against fault switches that cannot be set from another process. */
    @Test
    void setsFaultsOverHttp() {
        caller.call("POST", "/standin/faults", "{\"down\":1}");
        assertThat(put("a", "If-None-Match", "*").statusCode()).isEqualTo(503);
        caller.call("POST", "/standin/faults", "{\"down\":0,\"stale-reads\":1}");
        put("b", "If-Match", etag(put("a", "If-None-Match", "*")));

        assertThat(caller.call("GET", HEAD, "").body()).isEqualTo("a");
        assertThat(caller.call("GET", HEAD, "").body()).isEqualTo("b");
        assertThat(caller.call("GET", "/standin/record", "").body()).contains("\"put\":3");
        assertThat(caller.call("POST", "/standin/faults", "{\"dwon\":1}").statusCode())
                .isEqualTo(400);
    }

    /** Guards against tests with values that the real platform rejects. */
    @Test
    void rejectsTooLargeValue() {
        assertThat(put("x".repeat(1_000_001), "If-None-Match", "*").statusCode())
                .isEqualTo(413);
    }

    private HttpResponse<String> put(String body, String... headers) {
        return caller.call("PUT", HEAD, body, headers);
    }

    private static String etag(HttpResponse<String> response) {
        return response.headers().firstValue("ETag").orElse("");
    }
}
