package org.gooseberryring.state;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RouteTableTest {
    private final RouteTable table =
            new RouteTable(List.of(route("short", "/a/"), route("long", "/a/b/"), route("other", "/c/")));

    /** Guards against a request that matches a shorter prefix instead of its own route. */
    @Test
    void longestMatchingPrefixWins() {
        assertThat(table.find("x.example", "/a/b/c").id()).isEqualTo("long");
        assertThat(table.find("x.example", "/a/c").id()).isEqualTo("short");
    }

    /** Guards against a mismatch of host names that differ in case or include a port. */
    @Test
    void matchesHostNameIgnoringCaseAndPort() {
        assertThat(table.find("X.example:8080", "/c/1").id()).isEqualTo("other");
        assertThat(table.find("y.example", "/c/1")).isNull();
        assertThat(table.find("x.example", "/c")).isNull();
    }

    /** Guards against a traffic split that is not proportional to the weights. */
    @Test
    void splitsRequestsByWeight() {
        Route split = new Route(
                "r",
                "x.example",
                "/",
                RequestKind.STREAM,
                1,
                1,
                1,
                1,
                List.of(new WeightedService("a", 90), new WeightedService("b", 10)),
                1,
                false,
                false);
        assertThat(split.service(0)).isEqualTo("a");
        assertThat(split.service(0.899)).isEqualTo("a");
        assertThat(split.service(0.901)).isEqualTo("b");
        assertThat(split.service(0.9999)).isEqualTo("b");
    }

    private static Route route(String id, String prefix) {
        return new Route(
                id,
                "x.example",
                prefix,
                RequestKind.IDEMPOTENT,
                1_000,
                100,
                0,
                1,
                List.of(new WeightedService("s", 1)),
                2,
                false,
                false);
    }
}
