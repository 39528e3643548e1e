package org.gooseberryring.host.caller;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.gooseberryring.state.PriorityClass;
import org.gooseberryring.transport.peer.FrameSigner;

/**
 * Metadata that a host sends with a request to a host of another failure domain. It never contains the caller's API key.
 *
 * @param requestId identifier of the request; a random one if the request is for a given endpoint
 * @param attempt number of the attempt
 * @param organisation organisation of the request, empty on an open route
 * @param priorityClass class of the request
 * @param idempotent whether the request may run twice
 * @param deadlineMillis milliseconds until the deadline
 * @param wallMillis time of sending, in milliseconds since the Unix epoch
 * @param service plain service that the request is for, empty if it is for a model
 * @param hops number of relays that the request has passed through, including this one
 * @param endpoint endpoint that the receiver must pass the request on to, empty if it chooses one
 */
record RelayHead(
        String requestId,
        int attempt,
        String organisation,
        PriorityClass priorityClass,
        boolean idempotent,
        long deadlineMillis,
        long wallMillis,
        String service,
        int hops,
        String endpoint) {
    private static final HttpString HEAD = new HttpString("X-Relay-Head");
    private static final HttpString MAC = new HttpString("X-Relay-Hmac");
    private static final int FIELD_COUNT = 9;
    private static final String SEPARATOR = ",";

    /** Headers of a single connection, which are not signed. */
    private static final Set<HttpString> UNSIGNED_HEADERS =
            Set.of(HEAD, MAC, Headers.CONNECTION, Headers.CONTENT_LENGTH, Headers.TRANSFER_ENCODING);

    /**
     * Adds the head and its HMAC to the headers of a request. The HMAC also covers method, path and body, and all headers
     * of a request for a given endpoint, which the receiver passes on.
     *
     * @param bodyDigest SHA-256 of the body
     */
    void addTo(HeaderMap headers, FrameSigner signer, String method, String path, byte[] bodyDigest) {
        String text = text();
        headers.put(HEAD, text);
        byte[] signed = signedBytes(method, path, headers, bodyDigest);
        headers.put(MAC, HexFormat.of().formatHex(signer.sign(signed)));
    }

    /** Removes the head from the headers of a request. */
    static void removeFrom(HeaderMap headers) {
        UNSIGNED_HEADERS.forEach(headers::remove);
    }

    /** Returns the head of a request, or null if it is missing, malformed or not authentic. */
    static RelayHead of(HeaderMap headers, FrameSigner signer, String method, String path, byte[] body) {
        if (headers.count(HEAD) != 1 || headers.count(MAC) != 1) {
            return null;
        }
        String text = headers.getFirst(HEAD);
        try {
            byte[] mac = HexFormat.of().parseHex(headers.getFirst(MAC));
            RelayHead head = parse(text);
            if (head == null) {
                return null;
            }
            return signer.verify(head.signedBytes(method, path, headers, Digests.sha256(body)), mac) ? head : null;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Returns a text that no two relayed attempts share. */
    String identity() {
        return requestId + "/" + attempt;
    }

    private String text() {
        String fields = String.join(
                SEPARATOR,
                requestId,
                Integer.toString(attempt),
                hex(organisation),
                priorityClass.name().toLowerCase(Locale.ROOT),
                Boolean.toString(idempotent),
                Long.toString(deadlineMillis),
                Long.toString(wallMillis),
                hex(service),
                Integer.toString(hops));
        return endpoint.isEmpty() ? fields : fields + SEPARATOR + hex(endpoint);
    }

    private static RelayHead parse(String text) {
        String[] fields = text.split(SEPARATOR, -1);
        if (fields.length != FIELD_COUNT && fields.length != FIELD_COUNT + 1) {
            return null;
        }
        return new RelayHead(
                fields[0],
                Integer.parseInt(fields[1]),
                text(fields[2]),
                PriorityClass.valueOf(fields[3].toUpperCase(Locale.ROOT)),
                Boolean.parseBoolean(fields[4]),
                Long.parseLong(fields[5]),
                Long.parseLong(fields[6]),
                text(fields[7]),
                Integer.parseInt(fields[8]),
                fields.length > FIELD_COUNT ? text(fields[FIELD_COUNT]) : "");
    }

    /** Returns the signed headers in a form that does not depend on their order. */
    private static String headerText(HeaderMap headers) {
        Map<String, String> sorted = new TreeMap<>();
        for (HeaderValues values : headers) {
            if (!UNSIGNED_HEADERS.contains(values.getHeaderName())) {
                sorted.put(values.getHeaderName().toString().toLowerCase(Locale.ROOT), String.join("\n", values));
            }
        }
        return sorted.toString();
    }

    private static String hex(String text) {
        return HexFormat.of().formatHex(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(String hex) {
        return new String(HexFormat.of().parseHex(hex), StandardCharsets.UTF_8);
    }

    private byte[] signedBytes(String method, String path, HeaderMap headers, byte[] bodyDigest) {
        byte[] text = text().getBytes(StandardCharsets.UTF_8);
        byte[] methodBytes = method.getBytes(StandardCharsets.UTF_8);
        byte[] pathBytes = path.getBytes(StandardCharsets.UTF_8);
        return endpoint.isEmpty()
                ? Digests.sha256(text, methodBytes, pathBytes, bodyDigest)
                : Digests.sha256(
                        text, methodBytes, pathBytes, headerText(headers).getBytes(StandardCharsets.UTF_8), bodyDigest);
    }
}
