package org.gooseberryring.host.caller;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Locale;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.gooseberryring.state.PriorityClass;
import org.gooseberryring.transport.peer.FrameSigner;

/**
 * Metadata that a host sends with a request to a host of another failure domain. It never contains the caller's API key.
 *
 * @param requestId identifier of the request
 * @param attempt number of the attempt
 * @param organisation organisation of the request, empty on an open route
 * @param priorityClass class of the request
 * @param idempotent whether the request may run twice
 * @param deadlineMillis milliseconds until the deadline
 * @param wallMillis time of sending, in milliseconds since the Unix epoch
 * @param service plain service that the request is for, empty if it is for a model
 * @param hops number of relays that the request has passed through, including this one
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
        int hops) {
    private static final HttpString HEAD = new HttpString("X-Relay-Head");
    private static final HttpString MAC = new HttpString("X-Relay-Hmac");
    private static final int FIELD_COUNT = 9;
    private static final String SEPARATOR = ",";

    /** Adds the head and its HMAC, which also covers method, path and body, to the headers of a request. */
    void addTo(HeaderMap headers, FrameSigner signer, String method, String path, byte[] body) {
        String text = text();
        headers.put(HEAD, text);
        headers.put(MAC, HexFormat.of().formatHex(signer.sign(signedBytes(text, method, path, body))));
    }

    /** Returns the head of a request, or null if it is missing, malformed or not authentic. */
    static RelayHead of(HeaderMap headers, FrameSigner signer, String method, String path, byte[] body) {
        if (headers.count(HEAD) != 1 || headers.count(MAC) != 1) {
            return null;
        }
        String text = headers.getFirst(HEAD);
        try {
            byte[] mac = HexFormat.of().parseHex(headers.getFirst(MAC));
            return signer.verify(signedBytes(text, method, path, body), mac) ? parse(text) : null;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Returns a text that no two relayed attempts share. */
    String identity() {
        return requestId + "/" + attempt;
    }

    private String text() {
        return String.join(
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
    }

    private static RelayHead parse(String text) {
        String[] fields = text.split(SEPARATOR, -1);
        if (fields.length != FIELD_COUNT) {
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
                Integer.parseInt(fields[8]));
    }

    private static String hex(String text) {
        return HexFormat.of().formatHex(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(String hex) {
        return new String(HexFormat.of().parseHex(hex), StandardCharsets.UTF_8);
    }

    private static byte[] signedBytes(String text, String method, String path, byte[] body) {
        return Digests.sha256(
                text.getBytes(StandardCharsets.UTF_8),
                method.getBytes(StandardCharsets.UTF_8),
                path.getBytes(StandardCharsets.UTF_8),
                Digests.sha256(body));
    }
}
