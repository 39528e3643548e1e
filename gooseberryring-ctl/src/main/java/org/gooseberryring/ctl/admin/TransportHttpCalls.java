package org.gooseberryring.ctl.admin;

import java.net.URI;
import java.util.Map;

import org.gooseberryring.transport.http.HttpCallException;
import org.gooseberryring.transport.http.HttpCaller;
import org.gooseberryring.transport.http.HttpResult;

/** Makes HTTP calls with the HTTP client of the transport module. */
public final class TransportHttpCalls implements HttpCalls {
    private final HttpCaller caller;

    public TransportHttpCalls(HttpCaller caller) {
        this.caller = caller;
    }

    @Override
    public AdminResponse call(String method, URI uri, Map<String, String> headers, byte[] body, long timeoutMillis) {
        try {
            HttpResult result = caller.call(method, uri, headers, body, timeoutMillis);
            String etag = result.header("ETag");
            return new AdminResponse(result.status(), etag == null ? null : etag.replace("\"", ""), result.body());
        } catch (HttpCallException e) {
            throw new NoResponseException(e.getMessage(), e.mayHaveBeenSent(), e);
        }
    }
}
