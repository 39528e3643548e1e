package org.gooseberryring.ctl.admin;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;

/** Makes HTTP calls with the client of the JDK. */
public final class JdkHttpCalls implements HttpCalls {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();

    @Override
    public HttpAnswer call(String method, URI uri, Map<String, String> headers, byte[] body, long timeoutMillis) {
        HttpRequest.Builder request = HttpRequest.newBuilder(uri)
                .timeout(Duration.ofMillis(timeoutMillis))
                .method(method, HttpRequest.BodyPublishers.ofByteArray(body == null ? new byte[0] : body));
        headers.forEach(request::header);
        try {
            HttpResponse<byte[]> response = client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            String etag = response.headers().firstValue("ETag").orElse(null);
            return new HttpAnswer(response.statusCode(), etag == null ? null : etag.replace("\"", ""), response.body());
        } catch (ConnectException | HttpConnectTimeoutException e) {
            throw new NoAnswerException("Cannot connect to " + uri.getAuthority(), false, e);
        } catch (IOException e) {
            throw new NoAnswerException("No answer from " + uri.getAuthority(), true, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new NoAnswerException("Interrupted while calling " + uri.getAuthority(), true, e);
        }
    }
}
