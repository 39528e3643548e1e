package org.gooseberryring.host.caller;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Response recorded for an idempotency key. It is encoded as a single array, because a claim stores one.
 *
 * @param contentType media type of the body, empty if there is none
 * @param body complete body
 */
record RecordedResponse(String contentType, byte[] body) {
    /** Returns the media type, a line feed and the body as one array. */
    byte[] encode() {
        byte[] head = (contentType + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] encoded = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, encoded, head.length, body.length);
        return encoded;
    }

    static RecordedResponse decode(byte[] bytes) {
        int end = 0;
        while (end < bytes.length && bytes[end] != '\n') {
            end++;
        }
        String type = new String(bytes, 0, end, StandardCharsets.UTF_8);
        return new RecordedResponse(type, Arrays.copyOfRange(bytes, Math.min(bytes.length, end + 1), bytes.length));
    }
}
