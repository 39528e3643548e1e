package org.gooseberryring.standins;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** HTTP client of a stand-in. A call without a complete response completes exceptionally. */
final class TestCaller {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String address;

    TestCaller(String address) {
        this.address = address;
    }

    HttpResponse<String> call(String method, String path, String body, String... headers) {
        return begin(method, path, body, headers).join();
    }

    CompletableFuture<HttpResponse<String>> begin(String method, String path, String body, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }
}
